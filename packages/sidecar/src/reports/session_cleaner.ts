/** Releases engine sessions of programs that are no longer alive. */

import {
  ABORTED,
  fail,
  findProgramGroup,
  type Logger,
  type Outcome,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { UpstreamClient } from "../upstream/upstream_client.ts";

const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Options of {@linkcode SessionCleaner}. */
export interface SessionCleanerOptions {
  readonly upstream: UpstreamClient;
  readonly replicas: readonly PeerClient[];
  readonly programGroups: number;
  readonly intervalMilliseconds: number;
  readonly logger: Logger;
}

/**
 * Compares the engine's sessions with the programs that their owners report
 * as alive. It starts from the engine's own list, so it also finds sessions
 * left behind by an earlier start of this sidecar or by an owner that failed.
 */
export class SessionCleaner {
  readonly #options: SessionCleanerOptions;
  readonly #stopped = new AbortController();

  constructor(options: SessionCleanerOptions) {
    this.#options = options;
  }

  /** Starts the periodic task. */
  start(): void {
    void this.#runLoop();
  }

  /** Stops the periodic task. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  async #runLoop(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await sleep(this.#options.intervalMilliseconds, this.#stopped.signal);
      try {
        await this.releaseOrphans();
      } catch {
        this.#options.logger.debug("Releasing engine sessions failed");
      }
    }
  }

  /**
   * Releases the sessions of all programs that are not alive; those of a group
   * whose leader does not answer are kept. Returns the released programs.
   */
  async releaseOrphans(): Promise<readonly string[]> {
    const sessions = await this.#options.upstream.listSessions();
    const byGroup = new Map<number, string[]>();
    for (const programId of sessions) {
      const group = findProgramGroup(programId, this.#options.programGroups);
      const groupProgramIds = byGroup.get(group) ?? [];
      groupProgramIds.push(programId);
      byGroup.set(group, groupProgramIds);
    }
    const released: string[] = [];
    for (const [group, programIds] of byGroup) {
      const alive = await this.#fetchAlive(group, programIds);
      if (alive.err) continue;
      for (const programId of programIds) {
        if (alive.val.includes(programId)) continue;
        await this.#options.upstream.releaseSession(programId);
        released.push(programId);
      }
    }
    return released;
  }

  async #fetchAlive(
    group: number,
    programIds: readonly string[],
  ): Promise<Outcome<readonly string[]>> {
    for (const replica of this.#options.replicas) {
      const answer = await replica.call(
        "programs.alive",
        { group, programIds },
        { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS },
      );
      if (answer.ok) return Ok(answer.val.alive);
    }
    return fail(
      RESULT_CODES.NO_LEADER,
      "No replica answered as the leader of the group",
    );
  }
}
