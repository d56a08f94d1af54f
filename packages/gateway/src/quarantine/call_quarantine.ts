/** Applies the quarantine to calls and records how their attempts end. */

import { performance } from "node:perf_hooks";
import {
  type CodedError,
  countRefusal,
  type Logger,
  type Metrics,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import type { AttemptResult } from "../calls/attempt.ts";
import type { CallFacts, CallHead } from "../dialect.ts";
import { UPSTREAM_STATES } from "../upstreams/check_address.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import {
  isConnectionLoss,
  LOSS_CAUSES,
} from "../upstreams/upstream_connection.ts";
import {
  type Fingerprint,
  type Quarantine,
  QUARANTINE_DECISIONS,
  type QuarantineDecision,
} from "./quarantine.ts";
import type { QuarantineExchange } from "./quarantine_exchange.ts";

/** Longest wait of a failed call until the other gateways know of an end, ms. */
const SHARE_WAIT_MILLISECONDS = 500;
/**
 * Time after a lost attempt in which the removal of its upstream from the
 * instance list shows that it had ended, ms.
 */
const LATE_END_MILLISECONDS = 10_000;

/** What the quarantine needs of an open call. */
export interface FingerprintedCall {
  readonly fingerprint: Fingerprint;
  readonly signal: AbortSignal;
  readonly hasCallerLeft: boolean;
  readonly parts: {
    readonly facts: Pick<CallFacts, "callId" | "programId">;
    readonly head: Pick<CallHead, "target">;
  };
}

/** Options of {@linkcode CallQuarantine}. */
export interface CallQuarantineOptions {
  readonly quarantine: Quarantine;
  readonly exchange: Pick<QuarantineExchange, "share">;
  /** Timeout for connecting to an upstream, ms. */
  readonly connectMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Decides about the calls of a gateway and learns from their attempts. */
export class CallQuarantine {
  readonly #options: CallQuarantineOptions;
  /** Messages to the other gateways, by the call whose upstream has ended. */
  readonly #shares = new WeakMap<FingerprintedCall, Promise<void>>();

  constructor(options: CallQuarantineOptions) {
    this.#options = options;
  }

  /** Decides whether a call may be sent now. */
  decide(call: FingerprintedCall, now: number): QuarantineDecision {
    const { quarantine } = this.#options;
    // A fingerprint costs a digest of the body.
    if (quarantine.isEmpty) return { kind: QUARANTINE_DECISIONS.SEND };
    return quarantine.decide(call.fingerprint, now);
  }

  /** Why a call is not sent at all; undefined if it may be. */
  findRefusal(call: FingerprintedCall, now: number): CodedError | undefined {
    const decision = this.decide(call, now);
    if (decision.kind !== QUARANTINE_DECISIONS.REFUSE) return undefined;
    return this.refuse(call, decision.retryAfterMilliseconds);
  }

  /** Logs and counts a refusal, and returns its error. */
  refuse(call: FingerprintedCall, retryAfterMilliseconds: number): CodedError {
    const { logger, metrics } = this.#options;
    const code = RESULT_CODES.REQUEST_QUARANTINED;
    const { facts, head } = call.parts;
    countRefusal(metrics, "quarantine", code);
    logger.info("Quarantined request refused", {
      call: facts.callId,
      program: facts.programId,
      request: call.fingerprint.caller,
      content: call.fingerprint.content,
      target: head.target,
      retry_ms: retryAfterMilliseconds,
    });
    return { code, message: code.meaning, retryAfterMilliseconds };
  }

  /**
   * Runs an attempt and records how it ended. After a lost connection, resolves
   * when it is known whether the upstream has ended.
   */
  async observe(
    call: FingerprintedCall,
    upstream: Upstream,
    run: () => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    const { quarantine } = this.#options;
    const endAttempt = quarantine.isEmpty
      ? undefined
      : quarantine.beginAttempt(call.fingerprint);
    const sentAt = performance.now();
    try {
      const result = await run();
      await this.#recordResult(call, { result, upstream, sentAt });
      return result;
    } finally {
      endAttempt?.();
    }
  }

  /**
   * Resolves when the other gateways know of the upstreams that ended under a
   * call. Its caller's next try may reach any of them at once.
   */
  async waitUntilShared(call: FingerprintedCall): Promise<void> {
    const shared = this.#shares.get(call);
    if (shared === undefined) return;
    const timeout = sleep(SHARE_WAIT_MILLISECONDS, call.signal);
    await Promise.race([shared, timeout]);
  }

  async #recordResult(
    call: FingerprintedCall,
    attempt: {
      readonly result: AttemptResult;
      readonly upstream: Upstream;
      readonly sentAt: number;
    },
  ): Promise<void> {
    const { result, upstream, sentAt } = attempt;
    if (result.kind === "whole") return this.#recordAnswer(call, sentAt);
    if (result.kind !== "lost" || upstream.instance.leaving) return;
    if (isConnectionLoss(result.cause)) {
      const recorded = this.#recordLoss(call, { upstream, sentAt });
      const { connectMilliseconds } = this.#options;
      const timeout = sleep(connectMilliseconds, call.signal);
      return await Promise.race([recorded, timeout]);
    }
    const isSilent = result.cause === LOSS_CAUSES.SILENT ||
      (result.cause === LOSS_CAUSES.ABORTED && !call.hasCallerLeft);
    if (isSilent) this.#awaitEnd(call, { upstream, sentAt });
  }

  #recordAnswer(call: FingerprintedCall, sentAt: number): void {
    const { quarantine, exchange } = this.#options;
    const now = performance.now();
    const change = quarantine.recordAnswer(call.fingerprint, { sentAt, now });
    if (change.answers.length > 0) void exchange.share(change);
  }

  async #recordLoss(
    call: FingerprintedCall,
    attempt: { readonly upstream: Upstream; readonly sentAt: number },
  ): Promise<void> {
    const { connectMilliseconds, logger, metrics } = this.#options;
    const { upstream } = attempt;
    // An end may show when the call is over and its body is freed.
    void call.fingerprint.content;
    const endedAt = performance.now();
    const state = await upstream.check(connectMilliseconds);
    metrics.lostAttempts.inc({ upstream_state: state });
    logger.info("Upstream checked", {
      call: call.parts.facts.callId,
      upstream: upstream.instance.id,
      state,
      requests: upstream.running,
    });
    if (state === UPSTREAM_STATES.ENDED) {
      this.#recordEnd(call, { ...attempt, endedAt });
    } else this.#awaitEnd(call, attempt);
  }

  /**
   * Records an end that shows later: a process that restarted at once accepts
   * connections again, and an instance without power refuses none.
   */
  #awaitEnd(
    call: FingerprintedCall,
    attempt: { readonly upstream: Upstream; readonly sentAt: number },
  ): void {
    void call.fingerprint.content;
    const endedAt = performance.now();
    attempt.upstream.onEnd(() => {
      if (performance.now() - endedAt > LATE_END_MILLISECONDS) return;
      this.#recordEnd(call, { ...attempt, endedAt });
    });
  }

  #recordEnd(
    call: FingerprintedCall,
    attempt: {
      readonly upstream: Upstream;
      readonly sentAt: number;
      readonly endedAt: number;
    },
  ): void {
    const { quarantine, exchange } = this.#options;
    const { upstream, sentAt, endedAt } = attempt;
    const change = quarantine.recordEnd(call.fingerprint, {
      upstream: upstream.instance.id,
      sentAt,
      endedAt,
      now: performance.now(),
    });
    if (change.ends.length === 0) return;
    this.#shares.set(call, exchange.share(change));
  }
}
