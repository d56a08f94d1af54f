/** Prometheus metrics of a daemon. */

import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { ResultCode } from "../result/result_codes.ts";

const LATENCY_BUCKETS = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  10,
  60,
];

const SNAPSHOT_BUCKETS = [0.05, 0.25, 1, 2.5, 5, 10, 20, 60];

/**
 * Sampling interval of the event loop lag, ms. The library's default of 10 ms
 * wakes an idle process a hundred times a second; four samples a second still
 * show a process that lags.
 */
const LAG_SAMPLE_MILLISECONDS = 250;

/** All counters, gauges and histograms of a daemon. */
export interface Metrics {
  readonly registry: Registry;
  readonly refusals: Counter<"part" | "reason">;
  readonly retries: Counter<"part" | "reason">;
  readonly lostAttempts: Counter<"upstream_state">;
  readonly quarantinedRequests: Gauge;
  readonly calls: Counter<"kind" | "code">;
  readonly workspaceFailures: Counter<"workspace" | "reason">;
  readonly commitSeconds: Histogram<"group">;
  readonly callSeconds: Histogram<"kind">;
  readonly leading: Gauge<"group">;
  readonly pendingEntries: Gauge<"group">;
  readonly leadershipEnds: Counter<"group" | "reason">;
  readonly snapshotSeconds: Histogram<"group" | "kind">;
  readonly votes: Counter<"group" | "outcome">;
  readonly proposals: Counter<"kind">;
  readonly repeatedCommands: Counter<"kind">;
  readonly abandonedCommands: Counter<"kind">;
  readonly unchangedCommands: Counter<"kind">;
  readonly requestAgeSeconds: Histogram<"kind" | "priority">;
  readonly waitingTurns: Gauge<"service">;
  readonly openTurns: Gauge<"service">;
  readonly turnWaitSeconds: Histogram<"priority">;
  readonly revision: Gauge;
  readonly running: Gauge;
  readonly queued: Gauge;
  readonly cachedTokens: Counter;
  readonly promptTokens: Counter;
  readonly invalidInstances: Counter<"reason">;
  readonly instanceListReadAt: Gauge;
  readonly instanceListReads: Counter<"outcome">;
  readonly malformedFrames: Counter<"reason">;
  readonly processStallSeconds: Counter;
  readonly peerBytes: Counter<"direction">;
  readonly silentConnections: Counter;
  readonly unreadBytes: Gauge;
  readonly unsentBytes: Gauge;
  readonly requestBytes: Gauge;
  readonly answerBytes: Gauge;
  readonly slowCallers: Counter<"reason">;
  readonly stopEndedCalls: Counter<"outcome">;
  readonly requestsLeftBehind: Counter<"part" | "reason">;
  readonly heldBytes: Gauge<"part">;
  readonly discardedAnswers: Counter<"kind">;
  readonly stoppedRequests: Counter<"part" | "code">;
}

/** Creates the metrics of a daemon in a registry of their own. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: LAG_SAMPLE_MILLISECONDS,
  });
  const registers = [registry];
  return {
    registry,
    refusals: new Counter({
      name: "mallowlift_refusals_total",
      help: "Requests refused, by part and result code",
      labelNames: ["part", "reason"],
      registers,
    }),
    retries: new Counter({
      name: "mallowlift_retries_total",
      help: "Retried attempts, by part and result code",
      labelNames: ["part", "reason"],
      registers,
    }),
    lostAttempts: new Counter({
      name: "mallowlift_lost_attempts_total",
      help:
        "Attempts that lost their answer, by what their upstream's address did next",
      labelNames: ["upstream_state"],
      registers,
    }),
    quarantinedRequests: new Gauge({
      name: "mallowlift_quarantined_requests",
      help: "Requests that are not sent because upstreams ended under them",
      registers,
    }),
    calls: new Counter({
      name: "mallowlift_calls_total",
      help: "Calls that ended, by kind and result code",
      labelNames: ["kind", "code"],
      registers,
    }),
    workspaceFailures: new Counter({
      name: "mallowlift_workspace_failures_total",
      help: "Calls that were refused or failed, by workspace and result code",
      labelNames: ["workspace", "reason"],
      registers,
    }),
    commitSeconds: new Histogram({
      name: "mallowlift_commit_seconds",
      help: "Time from proposal to quorum",
      labelNames: ["group"],
      buckets: LATENCY_BUCKETS,
      registers,
    }),
    callSeconds: new Histogram({
      name: "mallowlift_call_seconds",
      help: "Time from a call's arrival to its end",
      labelNames: ["kind"],
      buckets: LATENCY_BUCKETS,
      registers,
    }),
    leading: new Gauge({
      name: "mallowlift_leading",
      help: "1 if this replica leads the group",
      labelNames: ["group"],
      registers,
    }),
    pendingEntries: new Gauge({
      name: "mallowlift_waiting_entries",
      help: "Entries of this leader that are not committed yet",
      labelNames: ["group"],
      registers,
    }),
    leadershipEnds: new Counter({
      name: "mallowlift_leadership_ends_total",
      help: "Ended leaderships of this replica, by reason",
      labelNames: ["group", "reason"],
      registers,
    }),
    snapshotSeconds: new Histogram({
      name: "mallowlift_snapshot_seconds",
      help: "Time to write, to install or to send a snapshot",
      labelNames: ["group", "kind"],
      buckets: SNAPSHOT_BUCKETS,
      registers,
    }),
    votes: new Counter({
      name: "mallowlift_votes_total",
      help: "Vote requests to this replica, by outcome",
      labelNames: ["group", "outcome"],
      registers,
    }),
    proposals: new Counter({
      name: "mallowlift_proposals_total",
      help: "Commands proposed to this store, by kind",
      labelNames: ["kind"],
      registers,
    }),
    repeatedCommands: new Counter({
      name: "mallowlift_repeated_asks_total",
      help: "Requests for a command that was already in flight, by kind",
      labelNames: ["kind"],
      registers,
    }),
    abandonedCommands: new Counter({
      name: "mallowlift_unheard_answers_total",
      help: "Commands decided after all their callers had given up, by kind",
      labelNames: ["kind"],
      registers,
    }),
    unchangedCommands: new Counter({
      name: "mallowlift_unchanged_commands_total",
      help: "Commands that were committed and refused by the state, by kind",
      labelNames: ["kind"],
      registers,
    }),
    requestAgeSeconds: new Histogram({
      name: "mallowlift_request_age_seconds",
      help: "Age of the requests for a command when the store reads them",
      labelNames: ["kind", "priority"],
      buckets: LATENCY_BUCKETS,
      registers,
    }),
    waitingTurns: new Gauge({
      name: "mallowlift_waiting_turns",
      help: "Turns that wait at the leader for a slot of their service",
      labelNames: ["service"],
      registers,
    }),
    openTurns: new Gauge({
      name: "mallowlift_open_turns",
      help: "Turns that the leader has placed and that have not ended",
      labelNames: ["service"],
      registers,
    }),
    turnWaitSeconds: new Histogram({
      name: "mallowlift_turn_wait_seconds",
      help: "Wait of placed turns for a slot of their service, by priority",
      labelNames: ["priority"],
      buckets: LATENCY_BUCKETS,
      registers,
    }),
    revision: new Gauge({
      name: "mallowlift_configuration_revision",
      help: "Revision of the configuration in force",
      registers,
    }),
    running: new Gauge({
      name: "mallowlift_running",
      help: "Calls at the upstream",
      registers,
    }),
    queued: new Gauge({
      name: "mallowlift_queued",
      help: "Queued calls",
      registers,
    }),
    cachedTokens: new Counter({
      name: "mallowlift_cached_prompt_tokens_total",
      help: "Prompt tokens that the engine found in its cache",
      registers,
    }),
    promptTokens: new Counter({
      name: "mallowlift_prompt_tokens_total",
      help: "Prompt tokens sent to the engine",
      registers,
    }),
    peerBytes: new Counter({
      name: "mallowlift_peer_bytes_total",
      help: "Bytes on connections to other daemons, by direction",
      labelNames: ["direction"],
      registers,
    }),
    silentConnections: new Counter({
      name: "mallowlift_silent_connections_total",
      help: "Silent connections to other daemons that were replaced",
      registers,
    }),
    processStallSeconds: new Counter({
      name: "mallowlift_stood_still_seconds_total",
      help: "Time for which the process was stalled",
      registers,
    }),
    invalidInstances: new Counter({
      name: "mallowlift_strange_instances_total",
      help: "Invalid entries of the instance list, by reason",
      labelNames: ["reason"],
      registers,
    }),
    instanceListReadAt: new Gauge({
      name: "mallowlift_instance_list_read_at_seconds",
      help: "When the instance list in force was read, Unix time",
      registers,
    }),
    instanceListReads: new Counter({
      name: "mallowlift_instance_list_reads_total",
      help:
        "Requests to a store to refresh a stale instance list, by result code",
      labelNames: ["outcome"],
      registers,
    }),
    unreadBytes: new Gauge({
      name: "mallowlift_unread_answer_bytes",
      help: "Bytes of answers that callers have not read yet",
      registers,
    }),
    unsentBytes: new Gauge({
      name: "mallowlift_unsent_request_bytes",
      help: "Bytes of requests that upstreams have not read yet",
      registers,
    }),
    requestBytes: new Gauge({
      name: "mallowlift_held_request_bytes",
      help: "Memory reserved for the bodies and joined prompts of requests",
      registers,
    }),
    answerBytes: new Gauge({
      name: "mallowlift_held_answer_bytes",
      help: "Memory reserved for answers and for the outputs of turns",
      registers,
    }),
    slowCallers: new Counter({
      name: "mallowlift_slow_callers_total",
      help: "Calls that were ended because of unread bytes, by reason",
      labelNames: ["reason"],
      registers,
    }),
    stopEndedCalls: new Counter({
      name: "mallowlift_stop_ended_calls_total",
      help: "Calls that a planned stop refused or ended, by outcome",
      labelNames: ["outcome"],
      registers,
    }),
    requestsLeftBehind: new Counter({
      name: "mallowlift_requests_left_behind_total",
      help:
        "Requests that were not run because their connection ended, by reason",
      labelNames: ["part", "reason"],
      registers,
    }),
    heldBytes: new Gauge({
      name: "mallowlift_held_bytes",
      help: "Bytes of requests and answers that are held, by part",
      labelNames: ["part"],
      registers,
    }),
    discardedAnswers: new Counter({
      name: "mallowlift_discarded_answers_total",
      help: "Finished answers that a sidecar discarded to free memory, by kind",
      labelNames: ["kind"],
      registers,
    }),
    stoppedRequests: new Counter({
      name: "mallowlift_stopped_requests_total",
      help: "Requests that a planned stop ended, by part and result code",
      labelNames: ["part", "code"],
      registers,
    }),
    malformedFrames: new Counter({
      name: "mallowlift_malformed_frames_total",
      help: "Internal connections closed because of malformed frames",
      labelNames: ["reason"],
      registers,
    }),
  };
}

/** Counts a refused request by part and result code. */
export function countRefusal(
  metrics: Metrics,
  part: string,
  code: ResultCode,
): void {
  metrics.refusals.inc({ part, reason: code.name });
}

/** Counts a retry by part and result code. */
export function countRetry(
  metrics: Metrics,
  part: string,
  code: ResultCode,
): void {
  metrics.retries.inc({ part, reason: code.name });
}
