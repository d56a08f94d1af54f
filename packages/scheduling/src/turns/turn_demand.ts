/** What the leader of a site knows about a turn when it decides where and when it runs. */

/** A turn that asks for a slot of one of a service's upstreams. */
export interface TurnDemand {
  readonly turnId: string;
  readonly service: string;
  /** Workspace that the turn is charged to; empty if there is none. */
  readonly workspace: string;
  /** Relative entitlement of the workspace, in the same unit for all. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if the program has run a turn before. */
  readonly isStarted: boolean;
  /** Time until the whole program should be finished, ms; Infinity if not given. */
  readonly finishMilliseconds: number;
  /** Tokens of the complete prompt; 0 if not known. */
  readonly promptTokens: number;
  /** Tokens of the prompt that the upstream of the history need not process again. */
  readonly historyTokens: number;
  /** Upstream that processed the history; empty if there is none. */
  readonly historyUpstream: string;
  /** Name of the gateway that will send the turn. */
  readonly gateway: string;
  readonly failureDomain: string;
  /** When the caller stops to wait for the turn's answer, by the local clock, ms. */
  readonly deadlineAt: number;
}

/** What a gateway observed of a turn that has ended. */
export interface TurnReport {
  /** Upstream that ran it; empty if none did. */
  readonly upstream: string;
  /** Upstreams that failed or refused it before. */
  readonly failedUpstreams: readonly string[];
  /** Time from the send to the first event, ms; -1 if there was none. */
  readonly firstMilliseconds: number;
  /** Time from the first event to the last, ms. */
  readonly streamMilliseconds: number;
  /** Tokens of all events after the first. */
  readonly streamTokens: number;
}
