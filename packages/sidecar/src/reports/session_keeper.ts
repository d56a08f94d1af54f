/** Frees engine memory of programs that no owner knows as alive. */

import {
  ABORTED,
  fail,
  findProgramGroup,
  type Logger,
  type Outcome,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { UpstreamClient } from "../upstream/upstream_client.ts";

const ANSWER_MILLISECONDS = 1_000;

/** What the keeper needs. */
export interface SessionKeeperOptions {
  readonly upstream: UpstreamClient;
  readonly replicas: readonly Caller[];
  readonly programGroups: number;
  readonly intervalMilliseconds: number;
  readonly logger: Logger;
}

/**
 * Compares what the engine holds with what owners say is alive. It works
 * from the engine's own list, so it also finds what an earlier start of this
 * sidecar, or an owner that died, has left behind.
 */
export class SessionKeeper {
  readonly #options: SessionKeeperOptions;
  readonly #stopped = new AbortController();

  constructor(options: SessionKeeperOptions) {
    this.#options = options;
  }

  /** Starts the task. */
  start(): void {
    void this.#keep();
  }

  /** Ends the task. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  async #keep(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await sleep(this.#options.intervalMilliseconds, this.#stopped.signal);
      try {
        await this.compareOnce();
      } catch {
        this.#options.logger.debug("Engine did not list its sessions");
      }
    }
  }

  /** Compares once; returns the programs whose memory was freed. */
  async compareOnce(): Promise<readonly string[]> {
    const sessions = await this.#options.upstream.listSessions();
    const byGroup = new Map<number, string[]>();
    for (const programId of sessions) {
      const group = findProgramGroup(programId, this.#options.programGroups);
      const known = byGroup.get(group) ?? [];
      known.push(programId);
      byGroup.set(group, known);
    }
    const freed: string[] = [];
    for (const [group, programIds] of byGroup) {
      const alive = await this.#askOwner(group, programIds);
      if (alive.err) continue;
      for (const programId of programIds) {
        if (alive.val.includes(programId)) continue;
        await this.#options.upstream.releaseSession(programId);
        freed.push(programId);
      }
    }
    return freed;
  }

  async #askOwner(
    group: number,
    programIds: readonly string[],
  ): Promise<Outcome<readonly string[]>> {
    for (const replica of this.#options.replicas) {
      const answer = await replica.call(
        "programs.alive",
        { group, programIds },
        { timeoutMilliseconds: ANSWER_MILLISECONDS },
      );
      if (answer.ok) return Ok(answer.val.alive);
    }
    return fail(RESULT_CODES.NO_LEADER, "No leader answered for the group");
  }
}
