/** Interface of the clients through which a sidecar uses its upstream. */

import type {
  Answer,
  CacheChange,
  DispatchRequest,
  Outcome,
} from "@mallowlift/core";

/** Models and step time that an upstream reports. */
export interface UpstreamLoad {
  readonly models: readonly string[];
  readonly stepMilliseconds: number;
}

/** One attempt to run at the upstream. */
export interface UpstreamRun {
  readonly request: DispatchRequest;
  /** Unique across all attempts and restarts of the sidecar. */
  readonly streamId: string;
  /** Aborts when the attempt is cancelled. */
  readonly signal: AbortSignal;
  /** Receives text as it arrives, in order and without gaps. */
  onText(text: string): void;
}

/** Client of one upstream. */
export interface UpstreamClient {
  /**
   * Runs a call. A failure has a code with `notRun` only if the upstream
   * cannot have started the call.
   */
  run(run: UpstreamRun): Promise<Outcome<Answer>>;
  /** Reads the load; undefined if the upstream does not respond. */
  readLoad(): Promise<UpstreamLoad | undefined>;
  /** Reads the known changes of cached tokens since the last call. */
  readCacheChanges(): Promise<readonly CacheChange[]>;
  /** Lists the programs for which the upstream keeps cached tokens. */
  listSessions(): Promise<readonly string[]>;
  /** Releases the cached tokens of a program. */
  releaseSession(programId: string): Promise<void>;
}
