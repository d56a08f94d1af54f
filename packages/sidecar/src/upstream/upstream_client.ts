/** How a sidecar speaks to its upstream. */

import type {
  Answer,
  CacheChange,
  DispatchRequest,
  Outcome,
} from "@mallowlift/core";

/** What an upstream holds for programs. */
export interface UpstreamLoad {
  readonly models: readonly string[];
  readonly stepMilliseconds: number;
}

/** One attempt, as the upstream client sees it. */
export interface UpstreamRun {
  readonly request: DispatchRequest;
  /** Unique over all attempts and starts of the sidecar. */
  readonly streamId: string;
  /** Aborts when the attempt is cancelled. */
  readonly signal: AbortSignal;
  /** Takes text as it comes, in order and without gaps. */
  onText(text: string): void;
}

/** Speaks to one upstream. */
export interface UpstreamClient {
  /**
   * Runs a call. A failure whose code says "not run" is only returned when
   * the upstream cannot have started it.
   */
  run(run: UpstreamRun): Promise<Outcome<Answer>>;
  /** Reads the load; undefined if the upstream does not answer. */
  readLoad(): Promise<UpstreamLoad | undefined>;
  /** Cached tokens that changed since the last reading, as far as is known. */
  readCacheChanges(): Promise<readonly CacheChange[]>;
  /** Programs that the upstream keeps memory for. */
  listSessions(): Promise<readonly string[]>;
  /** Frees what the upstream keeps for a program. */
  releaseSession(programId: string): Promise<void>;
}
