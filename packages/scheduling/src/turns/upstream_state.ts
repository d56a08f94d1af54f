/** What the leader knows about one upstream. */

import type { UpstreamInstance } from "@mallowlift/core";
import { FailureRecord } from "./failure_record.ts";
import type { OpenTurn } from "./open_turns.ts";
import { UpstreamRate } from "./upstream_rate.ts";

/** Multiple of its expected time after which a turn counts as late. */
const LATE_FACTOR = 2;

/** An upstream with its open turns, its rate and its failures. */
export class UpstreamState {
  instance: UpstreamInstance;
  /** False once the instance has left the list. */
  isListed = true;
  /** Index in {@linkcode GatewayConnections}. */
  readonly column: number;
  readonly rate = new UpstreamRate();
  readonly failures = new FailureRecord();
  #open = 0;
  #oldest: OpenTurn | undefined;
  #newest: OpenTurn | undefined;

  constructor(instance: UpstreamInstance, column: number) {
    this.instance = instance;
    this.column = column;
  }

  /** Number of turns that were placed here and have not ended. */
  get open(): number {
    return this.#open;
  }

  /** Turns that it processes concurrently; at least 1. */
  get slots(): number {
    return Math.max(1, this.instance.slots);
  }

  /** Counts a turn as open. */
  add(turn: OpenTurn): void {
    this.#open++;
    turn.previous = this.#newest;
    if (this.#newest === undefined) this.#oldest = turn;
    else this.#newest.next = turn;
    this.#newest = turn;
    this.failures.recordPlaced(turn.placedAt);
  }

  /** Removes an open turn from the count. */
  remove(turn: OpenTurn): void {
    this.#open--;
    if (turn.previous === undefined) this.#oldest = turn.next;
    else turn.previous.next = turn.next;
    if (turn.next === undefined) this.#newest = turn.previous;
    else turn.next.previous = turn.previous;
    turn.previous = undefined;
    turn.next = undefined;
  }

  /** The open turn that was placed first. */
  get oldest(): OpenTurn | undefined {
    return this.#oldest;
  }

  /**
   * Returns the time by which the oldest open turn is late while no other has
   * ended, ms: an upstream that hangs serves none, while one that serves others
   * has only a long turn or one whose end was lost.
   *
   * @param reportedSince time since which ends of turns arrive
   */
  findLateness(reportedSince: number, now: number): number {
    const oldest = this.#oldest;
    if (oldest === undefined) return 0;
    const silentSince = Math.max(
      oldest.placedAt,
      this.failures.servedAt,
      reportedSince,
    );
    return Math.max(
      0,
      now - silentSince - LATE_FACTOR * oldest.expectedMilliseconds,
    );
  }
}
