/** Runs a turn of a program, whose history and token budget the stores keep. */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  type BeginTurn,
  type BeginTurnReply,
  type CodedError,
  countRefusal,
  countRetry,
  type EndTurn,
  type Outcome,
  RESULT_CODES,
  scopeId,
  type TurnRecord,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { PermitPool } from "../quotas/permit_pool.ts";
import type { RouteTable } from "../routing/route_table.ts";
import type { SiteClient } from "../site/site_client.ts";
import { findScope } from "../workspaces/scoped_id.ts";
import { describeAbort } from "./describe_abort.ts";
import { EventRelay } from "./event_relay.ts";
import type { OpenCall } from "./open_call.ts";
import { failCall, relayAnswer } from "./run_plain_call.ts";
import { sendCall } from "./send_call.ts";
import { findPrecedence } from "./request_precedence.ts";
import type { TurnCache } from "./turn_cache.ts";
import { fetchHistory, type HistoryMismatch } from "./turn_history.ts";
import { TurnObserver } from "./turn_observer.ts";
import {
  recordFullOutput,
  refuseOutput,
  refusePrompt,
  tryJoinPrompt,
  type TurnRoom,
} from "./turn_room.ts";
import type { TurnPlacementRequests } from "./turn_placement_requests.ts";

/** Retry delay while there is no leader, ms: about the time of an election. */
const NO_LEADER_RETRY_MILLISECONDS = 800;
/** Fraction of a call's remaining time to wait for a leader at most. */
const LEADER_WAIT_FRACTION = 0.5;
/** Timeout for settling a turn in the background, ms. */
const SETTLE_TIMEOUT_MILLISECONDS = 10_000;

/** Dependencies of turns in addition to those of all calls. */
export interface TurnDependencies extends TurnRoom {
  readonly client: SiteClient;
  readonly permits: PermitPool;
  readonly cache: TurnCache;
  readonly placement: TurnPlacementRequests;
  /** Returns the routes that are in force now. */
  readonly getRoutes: () => RouteTable | undefined;
}

/** What the stores returned for a turn that has begun. */
interface BegunTurn {
  /** The chain of earlier turns that this one continues, oldest first. */
  readonly chain: readonly TurnRecord[];
  /** Upstream that ran the program last; empty if unknown. */
  readonly latestUpstream: string;
  /** Upstream on which the leader placed the turn; empty if it did not. */
  readonly placedUpstream: string;
}

/** Runs a turn and answers its caller. */
export async function runTurn(
  call: OpenCall,
  parts: TurnDependencies,
): Promise<void> {
  // Its caller may have left, or its time may have passed, before its turn came.
  if (call.signal.aborted) return failCall(call, parts, describeAbort(call));
  const { keepsHistory } = call.parts.route;
  const room = keepsHistory
    ? parts.outputs.tryOpen(performance.now())
    : undefined;
  if (keepsHistory && room === undefined) {
    return failCall(call, parts, refuseOutput(call, parts));
  }
  if (room !== undefined) call.addReservation(room);
  const begun = await beginTurn(call, parts);
  if (begun.err) return refuseTurn(call, parts, begun.val);
  const { chain, latestUpstream, placedUpstream } = begun.val;
  const observer = placedUpstream === "" ? undefined : new TurnObserver();
  const prompt = tryJoinPrompt(call, chain);
  if (prompt === undefined) {
    settleTurn(call, parts, { events: 0 });
    return failCall(call, parts, refusePrompt(call, parts, chain));
  }
  const relay = new EventRelay(call, { observer, room });
  const result = await sendCall(call, parts, {
    body: prompt,
    preferredId: chain.at(-1)?.upstream ?? "",
    fallbackId: latestUpstream,
    placedId: placedUpstream,
    events: relay,
    observer,
  });
  if ("failure" in result) {
    if (relay.lacksRoom) recordFullOutput(call, parts);
    settleTurn(call, parts, { events: relay.count, observer });
    return failCall(call, parts, result.failure);
  }
  if (!result.answer.streamed) {
    settleTurn(call, parts, { events: relay.count, observer });
    return relayAnswer(call, result.answer);
  }
  if (!call.parts.route.keepsHistory) {
    // Without a history the stores need only the number of tokens. The caller
    // does not wait for that, since the reserved tokens stay reserved until
    // then. At a simulated site of 7 gateways this saved 35% of all bytes sent
    // between failure domains (74 instead of 114 MB in 50 s).
    settleTurn(call, parts, {
      events: relay.count,
      upstream: result.upstream,
      observer,
    });
    return call.endAnswer();
  }
  await endTurn(call, parts, { relay, upstream: result.upstream, observer });
}

/** The ids of a turn in the stores, scoped to its workspace. */
function findTurnIds(
  call: OpenCall,
): Pick<BeginTurn, "turnId" | "programId" | "previousId"> {
  const { facts, route, table, workspace } = call.parts;
  const scope = findScope(table.document, workspace);
  // Without a history, no turn can continue another one.
  const previousId = route.keepsHistory ? facts.previousTurnId : "";
  return {
    turnId: scopeId(scope, facts.callId),
    programId: scopeId(scope, facts.programId),
    previousId: scopeId(scope, previousId),
  };
}

/** Reserves the turn's tokens and fetches its history. */
async function beginTurn(
  call: OpenCall,
  parts: TurnDependencies,
): Promise<Outcome<BegunTurn>> {
  const fetched = await fetchHistory(findTurnIds(call), {
    cache: parts.cache,
    begin: async (cached) => {
      const requestedAt = performance.now();
      const begun = await requestBegin(call, parts, cached);
      // A retry inside the client may be what was answered, so the permit's
      // validity counts from the first request.
      if (begun.ok && begun.val.isCharged === true) {
        parts.sendGate.grantPermit(call, requestedAt);
      }
      return begun;
    },
    onMismatch: (mismatch) => recordMismatch(call, parts, mismatch),
  });
  if (fetched.err) return fetched;
  const { chain, reply } = fetched.val;
  const { latestUpstream = "", upstream: placedUpstream = "" } = reply;
  return Ok({ chain, latestUpstream, placedUpstream });
}

/** Logs and counts a history that differs from the one that the stores keep. */
function recordMismatch(
  call: OpenCall,
  parts: TurnDependencies,
  mismatch: HistoryMismatch,
): void {
  const { facts } = call.parts;
  countRetry(parts.metrics, "turns", RESULT_CODES.HISTORY_INCOMPLETE);
  parts.logger.warn("History differs from that of the stores", {
    call: facts.callId,
    program: facts.programId,
    previous: facts.previousTurnId,
    leader: parts.client.leader ?? "",
    is_cached: mismatch.isCached,
    turns: mismatch.turns,
    bytes: mismatch.bytes,
    expected_bytes: mismatch.expectedBytes ?? -1,
  });
}

/** Asks the stores to begin a turn; the request is idempotent. */
async function requestBegin(
  call: OpenCall,
  parts: TurnDependencies,
  cached: Pick<BeginTurn, "missingFrom" | "knownTurns">,
): Promise<Outcome<BeginTurnReply>> {
  const { facts } = call.parts;
  const { client, settings } = parts;
  const remaining = call.findRemainingMilliseconds(performance.now());
  const quota = parts.sendGate.findQuota(call);
  const demand = parts.placement.findDemand(call, remaining);
  return await client.call(
    "turns.begin",
    {
      ...findTurnIds(call),
      ...(demand === undefined ? {} : { demand }),
      precedence: findPrecedence(call, performance.now()),
      tokenBudget: facts.tokenBudget,
      mostTokens: facts.mostTokens,
      openMilliseconds: Math.max(0, Math.ceil(remaining)),
      ...(quota === undefined ? {} : { quota: quota.bound }),
      ...cached,
    },
    Math.min(settings.leaderWaitMilliseconds, LEADER_WAIT_FRACTION * remaining),
  );
}

function refuseTurn(
  call: OpenCall,
  parts: TurnDependencies,
  error: CodedError,
): void {
  const { code } = error;
  if (code === RESULT_CODES.QUOTA_EXCEEDED) {
    const refused = parts.permits.refuseForQuota(
      error.retryAfterMilliseconds ?? 0,
    );
    return failCall(call, parts, { error: refused.val, notRun: true });
  }
  const isFinal = code === RESULT_CODES.TURN_NOT_FOUND ||
    code === RESULT_CODES.BUDGET_EXCEEDED;
  if (isFinal) return failCall(call, parts, { error, notRun: true });
  if (code === RESULT_CODES.LEADER_BUSY) {
    return refuseOverload(call, parts, error);
  }
  if (
    code === RESULT_CODES.QUEUE_FULL ||
    code === RESULT_CODES.HISTORY_INCOMPLETE
  ) {
    countRefusal(parts.metrics, "turns", code);
    // The tokens may have been reserved before the turn was refused.
    settleTurn(call, parts, { events: 0 });
    return failCall(call, parts, { error, notRun: true });
  }
  countRefusal(parts.metrics, "turns", code);
  // The tokens may have been reserved although no reply arrived.
  settleTurn(call, parts, { events: 0 });
  parts.logger.info("Turn refused", {
    call: call.parts.facts.callId,
    program: call.parts.facts.programId,
    reason: code.name,
    leader: parts.client.leader ?? "",
    left_ms: Math.round(call.findRemainingMilliseconds(performance.now())),
  });
  failCall(call, parts, {
    error: {
      code: RESULT_CODES.NO_QUORUM,
      message: RESULT_CODES.NO_QUORUM.meaning,
      retryAfterMilliseconds: NO_LEADER_RETRY_MILLISECONDS,
    },
    notRun: true,
  });
}

/**
 * Refuses a turn because the leader is overloaded. The leader has reserved
 * nothing, so there is nothing to settle, and the refusal adds no entry to the
 * log that the leader replicates. The retry delay is lengthened by up to its own
 * length at random, so that callers do not all retry at the same moment.
 */
function refuseOverload(
  call: OpenCall,
  parts: TurnDependencies,
  error: CodedError,
): void {
  const pause = error.retryAfterMilliseconds ?? NO_LEADER_RETRY_MILLISECONDS;
  countRefusal(parts.metrics, "turns", error.code);
  failCall(call, parts, {
    error: {
      ...error,
      retryAfterMilliseconds: Math.round(pause * (1 + parts.random())),
    },
    notRun: true,
  });
}

/** Stores the turn before its caller receives the end of the answer. */
async function endTurn(
  call: OpenCall,
  parts: TurnDependencies,
  details: {
    readonly relay: EventRelay;
    readonly upstream: string;
    readonly observer: TurnObserver | undefined;
  },
): Promise<void> {
  const { relay, upstream, observer } = details;
  const { facts } = call.parts;
  const body = call.parts.body.bytes;
  const output = relay.joinData();
  parts.outputs.record(output.length);
  const requestedAt = performance.now();
  const quota = parts.sendGate.findQuota(call);
  // Many turns are followed by tool calls, whose permits are requested with
  // this message instead of one of their own.
  const charge = quota === undefined
    ? undefined
    : parts.permits.planSpare(quota, requestedAt);
  const turn: EndTurn = {
    ...describeEnd(call, parts, { events: relay.count, upstream, observer }),
    whole: true,
    input: body,
    output,
    upstream,
    ...(charge === undefined ? {} : { charge }),
  };
  const remaining = Math.max(
    1,
    call.findRemainingMilliseconds(performance.now()),
  );
  const ended = await parts.client.call("turns.end", turn, remaining);
  if (ended.err) {
    call.recordFailure(ended.val);
    parts.logger.warn("Turn not kept", {
      call: facts.callId,
      program: facts.programId,
      reason: ended.val.code.name,
      leader: parts.client.leader ?? "",
    });
    return call.disconnect();
  }
  const { permits: count = 0 } = ended.val;
  if (quota !== undefined) parts.permits.add(quota, { count, requestedAt });
  const { turnId, previousId, programId } = turn;
  const input = Buffer.from(body);
  parts.cache.put({ turnId, previousId, input, output, upstream }, programId);
  call.endAnswer();
}

/** Settles the tokens of a turn that is not stored, in the background. */
function settleTurn(
  call: OpenCall,
  parts: TurnDependencies,
  details: {
    readonly events: number;
    readonly upstream?: string;
    readonly observer?: TurnObserver | undefined;
  },
): void {
  const turn: EndTurn = {
    ...describeEnd(call, parts, details),
    whole: false,
    input: Buffer.alloc(0),
    output: Buffer.alloc(0),
    upstream: details.upstream ?? "",
  };
  void parts.client.call("turns.end", turn, SETTLE_TIMEOUT_MILLISECONDS).then(
    (settled) => {
      // Unsettled tokens stay reserved, so the budget is never exceeded.
      if (settled.ok) return;
      parts.logger.warn("Turn not settled", {
        call: turn.turnId,
        reason: settled.val.code.name,
      });
    },
  );
}

function describeEnd(
  call: OpenCall,
  parts: TurnDependencies,
  details: {
    readonly events: number;
    readonly upstream?: string;
    readonly observer?: TurnObserver | undefined;
  },
): Pick<
  EndTurn,
  | "turnId"
  | "programId"
  | "previousId"
  | "tokens"
  | "retentionMilliseconds"
  | "report"
  | "precedence"
> {
  const { table, service } = call.parts;
  const { events, upstream = "", observer } = details;
  const tokensPerEvent = table.findService(service)?.tokensPerEvent ?? 1;
  const report = observer?.createReport(upstream, tokensPerEvent);
  return {
    ...findTurnIds(call),
    ...(report === undefined ? {} : { report }),
    precedence: findPrecedence(call, performance.now()),
    tokens: events * tokensPerEvent,
    retentionMilliseconds: findRetention(call, parts),
  };
}

/** The longer one of the retentions of a turn's route when it began and now, ms. */
function findRetention(call: OpenCall, parts: TurnDependencies): number {
  const { host, pathPrefix, retentionMilliseconds } = call.parts.route;
  const newest = parts.getRoutes()?.find(host, pathPrefix);
  if (newest?.keepsHistory !== true) return retentionMilliseconds;
  return Math.max(retentionMilliseconds, newest.retentionMilliseconds);
}
