/** Holds the turns that were placed and have not ended. */

import type { GatewayConnections } from "./gateway_connections.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Width of the ranges of deadlines that are removed together, ms. */
const BUCKET_MILLISECONDS = 100;

/** A turn that was placed and has not ended. */
export interface OpenTurn {
  readonly turnId: string;
  readonly upstream: UpstreamState;
  readonly connections: GatewayConnections;
  readonly placedAt: number;
  readonly deadlineAt: number;
  /** Expected time from the placement to the end, ms. */
  readonly expectedMilliseconds: number;
  /** Prompt tokens that the upstream has to process. */
  readonly processedTokens: number;
  /** True if the upstream had a free slot when the turn was placed. */
  readonly hasFreeSlot: boolean;
  /** Neighbors among the open turns of the upstream, oldest first. */
  previous: OpenTurn | undefined;
  next: OpenTurn | undefined;
}

/**
 * Open turns by id and by deadline. Keeps the counts of upstreams and
 * connections in step with them.
 */
export class OpenTurns {
  readonly #byId = new Map<string, OpenTurn>();
  readonly #byBucket = new Map<number, Set<OpenTurn>>();

  /** Returns a turn; undefined if it is not open. */
  find(turnId: string): OpenTurn | undefined {
    return this.#byId.get(turnId);
  }

  /** Adds a turn that has just been placed. */
  add(turn: OpenTurn): void {
    this.#byId.set(turn.turnId, turn);
    const bucket = findBucket(turn.deadlineAt);
    const turns = this.#byBucket.get(bucket);
    if (turns === undefined) this.#byBucket.set(bucket, new Set([turn]));
    else turns.add(turn);
    turn.upstream.add(turn);
    turn.connections.acquire(turn.upstream.column, turn.placedAt);
  }

  /** Removes a turn that is open. */
  remove(turn: OpenTurn, now: number): void {
    this.#byId.delete(turn.turnId);
    const bucket = findBucket(turn.deadlineAt);
    const turns = this.#byBucket.get(bucket);
    turns?.delete(turn);
    if (turns?.size === 0) this.#byBucket.delete(bucket);
    const { upstream, connections } = turn;
    upstream.remove(turn);
    // The column of an upstream that is gone may belong to another one.
    if (upstream.isListed) connections.release(upstream.column, now);
  }

  /** Removes the turns whose deadline has passed. */
  removeExpired(now: number): void {
    const present = Math.floor(now / BUCKET_MILLISECONDS);
    for (const [bucket, turns] of this.#byBucket) {
      if (bucket > present) continue;
      for (const turn of turns) this.remove(turn, now);
    }
  }
}

/** Returns the first bucket that begins at or after a deadline. */
function findBucket(deadlineAt: number): number {
  return Math.ceil(deadlineAt / BUCKET_MILLISECONDS);
}
