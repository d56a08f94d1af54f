/** Prepares and runs one attempt of a call: its headers, limits and timeouts. */

import type { Buffer } from "node:buffer";
import { dropHopHeaders } from "../http/headers.ts";
import type { RawHeaders } from "../dialect.ts";
import { isResumable } from "../routing/repeatable.ts";
import type { ConnectionLimits, Upstream } from "../upstreams/upstream.ts";
import { hasWorkspaces } from "../workspaces/scoped_id.ts";
import { BodyRelay } from "./body_relay.ts";
import type { CallDependencies } from "./call_dependencies.ts";
import type { EarlierSends } from "./earlier_sends.ts";
import type { OpenCall } from "./open_call.ts";
import { type Rank, RANKS } from "./program_urgency.ts";
import type { TurnObserver } from "./turn_observer.ts";
import type { AttemptResult, EventSink } from "./attempt.ts";
import { runAttempt } from "./run_attempt.ts";

/**
 * Shares of an upstream's connections, each as large as a gateway's, that are
 * left to health checks and to gateways not known yet.
 */
const RESERVED_GATEWAY_SHARES = 1;
/** Multiple of the typical latency after which silence counts as a failure. */
const SILENCE_FACTOR = 4;
const LAST_EVENT_HEADERS: ReadonlySet<string> = new Set(["last-event-id"]);

/** The body to send and the upstreams to prefer. */
export interface SendOptions {
  readonly body: Buffer;
  /** Upstream that ran the previous turn; empty if there is none. */
  readonly preferredId: string;
  /** Upstream to prefer if this gateway knows no better one; empty if none. */
  readonly fallbackId?: string;
  /** Upstream on which the leader placed the call; empty if it did not. */
  readonly placedId?: string;
  readonly events?: EventSink;
  /** Missing if the leader did not place the call. */
  readonly observer?: TurnObserver | undefined;
}

/** Runs an attempt of a call at an upstream. */
export async function runCallAttempt(
  upstream: Upstream,
  call: OpenCall,
  details: {
    readonly parts: CallDependencies;
    readonly options: SendOptions;
    readonly earlier: EarlierSends;
    readonly now: number;
    /** True if the call may not be retried after this attempt may have run. */
    readonly isLast: boolean;
  },
): Promise<AttemptResult> {
  const { parts, options, now } = details;
  const { head, facts, route, table, workspace } = call.parts;
  const remaining = call.findRemainingMilliseconds(now);
  call.summary.sends++;
  options.observer?.recordSent(now);
  parts.promptMemory.record(facts.promptParts, upstream.instance.id);
  return await runAttempt({
    upstream,
    callId: facts.callId,
    earlier: details.earlier,
    dialect: parts.dialect,
    limits: findLimits(call, parts),
    signal: call.signal,
    // Silence ends an attempt early only if the call may be retried.
    silentMilliseconds: details.isLast
      ? remaining
      : Math.min(remaining, findSilenceLimit(call, parts, now)),
    streamSilentMilliseconds: details.isLast || !isResumable(route)
      ? Infinity
      : parts.settings.silentMilliseconds,
    maxAnswerBytes: parts.settings.maxAnswerBytes,
    events: options.events,
    body: new BodyRelay(call),
    flow: call,
    openAnswer: () => {
      const reservation = parts.answers.open({ owner: undefined, now });
      call.addReservation(reservation);
      return reservation;
    },
    unsent: parts.unsent,
    findRefusal: (now) => parts.sendGate.findRefusal(call, now),
    request: {
      method: head.method,
      target: head.target,
      headers: addLastEventId(
        parts.dialect.writeAttempt(head.headers, {
          remainingMilliseconds: Math.max(1, Math.floor(remaining)),
          instanceId: upstream.instance.ownId ?? upstream.instance.id,
          priority: workspace?.priority ?? route.priority,
          ...(hasWorkspaces(table.document)
            ? { workspace: workspace?.name ?? "" }
            : {}),
          rank: findRank(call, {
            parts,
            isPlaced: options.observer !== undefined,
          }),
        }),
        options.events?.lastId ?? "",
      ),
      body: options.body,
    },
  });
}

/**
 * Ranks a call among those of the same priority. The line of the leader orders the
 * turns that it places by the time that their programs have left; where workspaces set
 * the priority, the rank of such a turn is that of its route.
 */
function findRank(
  call: OpenCall,
  details: { readonly parts: CallDependencies; readonly isPlaced: boolean },
): Rank {
  const { facts, route, workspace } = call.parts;
  const { parts, isPlaced } = details;
  if (isPlaced && workspace?.priority !== undefined) {
    if (route.priority === 0) return RANKS.URGENT;
    return route.priority === 1 ? RANKS.NORMAL : RANKS.LATE;
  }
  return parts.urgency.rank(route.name, facts.finishMilliseconds);
}

/**
 * Silence after which a call is retried at another upstream, ms. It grows with
 * the current latency of the service: if all upstreams have a queue, retries
 * would double their load.
 */
function findSilenceLimit(
  call: OpenCall,
  parts: CallDependencies,
  now: number,
): number {
  const typicalMilliseconds = parts.upstreams.findMedianTime(
    call.parts.service,
    now,
  );
  return Math.max(
    parts.settings.silentMilliseconds,
    SILENCE_FACTOR * typicalMilliseconds,
  );
}

/** Asks the upstream to resume after the last event that the caller received. */
function addLastEventId(headers: RawHeaders, lastId: string): RawHeaders {
  if (lastId === "") return headers;
  return [
    ...dropHopHeaders(headers, LAST_EVENT_HEADERS),
    "Last-Event-Id",
    lastId,
  ];
}

function findLimits(call: OpenCall, parts: CallDependencies): ConnectionLimits {
  const { table, service } = call.parts;
  const totalConnections = table.findService(service)?.maxConnections ?? 1;
  const share = Math.floor(
    totalConnections / (parts.countGateways() + RESERVED_GATEWAY_SHARES),
  );
  return {
    maxConnections: Math.max(1, share),
    connectMilliseconds: parts.settings.connectMilliseconds,
    idleMilliseconds: parts.settings.idleMilliseconds,
  };
}
