/**
 * The table of attempts at a sidecar. It deduplicates dispatches, fences stale
 * ones and decides whether an attempt may run.
 */

import {
  type Answer,
  type AttemptKey,
  type AttemptState,
  countRefusal,
  type DispatchRequest,
  dropAcceptance,
  fail,
  formatAttemptKey,
  isIdempotent,
  type Logger,
  type Metrics,
  type Outcome,
  type RecoverRequest,
  RESULT_CODES,
  type ResultCode,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { UpstreamClient } from "../upstream/upstream_client.ts";
import type { Admission } from "./admission.ts";
import { Attempt } from "./attempt.ts";
import { Fence } from "./fence.ts";
import { KeptBytes } from "./kept_bytes.ts";

const DRAINING_RETRY_MILLISECONDS = 1_000;

/** Options of {@linkcode AttemptTable}. */
export interface AttemptTableOptions {
  readonly bootId: string;
  readonly admission: Admission;
  readonly upstream: UpstreamClient;
  readonly keepMilliseconds: number;
  /** Bytes of all requests and answers that are held. */
  readonly keptTotalBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Runs attempts and keeps them by key until they expire. */
export class AttemptTable {
  readonly #options: AttemptTableOptions;
  readonly #attempts = new Map<string, Attempt>();
  /** The latest attempts by the keys that owners of earlier versions use. */
  readonly #latestAttempts = new Map<string, Attempt>();
  readonly #fence = new Fence();
  readonly #kept: KeptBytes;
  #draining = false;

  constructor(options: AttemptTableOptions) {
    this.#options = options;
    this.#kept = new KeptBytes({
      totalBytes: options.keptTotalBytes,
      metrics: options.metrics,
    });
  }

  /** True while the sidecar rejects new attempts. */
  get isDraining(): boolean {
    return this.#draining;
  }

  /** Number of attempts that have not ended. */
  get pendingCount(): number {
    let pending = 0;
    for (const attempt of this.#attempts.values()) {
      if (attempt.outcome === undefined) pending++;
    }
    return pending;
  }

  /** Starts or stops rejecting new attempts. */
  setDraining(draining: boolean): void {
    if (this.#draining !== draining) {
      this.#options.logger.info(draining ? "Draining" : "Draining ended");
    }
    this.#draining = draining;
  }

  /** Ends all queued attempts, which have not started, with DRAINING. */
  releaseQueued(): void {
    for (const attempt of this.#attempts.values()) {
      if (attempt.outcome !== undefined || attempt.isStarted) continue;
      attempt.isStopped = true;
      attempt.release();
    }
  }

  /**
   * Aborts all running attempts at the upstream. They end with a code that does
   * not rule out that they have run.
   */
  abortRunning(): void {
    for (const attempt of this.#attempts.values()) {
      if (attempt.outcome !== undefined) continue;
      attempt.isStopped = true;
      attempt.cancel();
    }
  }

  /**
   * Runs an attempt and returns its outcome. A repeated dispatch of an attempt
   * waits for the outcome of the first one and does not run it again.
   */
  async dispatch(
    request: DispatchRequest,
    now: number,
  ): Promise<Outcome<Answer>> {
    const admitted = this.#admit(request, now);
    if (admitted.err) {
      countRefusal(this.#options.metrics, "sidecar", admitted.val.code);
      return admitted;
    }
    return await admitted.val.done;
  }

  /** Returns a known attempt; undefined before its dispatch arrives and after its eviction. */
  find(key: AttemptKey): Attempt | undefined {
    const attempt = this.#attempts.get(formatAttemptKey(key));
    if (attempt !== undefined) return attempt;
    const sharedKey = formatAttemptKey(dropAcceptance(key));
    return key.acceptance === undefined
      ? this.#latestAttempts.get(sharedKey)
      : this.#attempts.get(sharedKey);
  }

  /**
   * Returns the state of an attempt to its owner. An unknown attempt is fenced
   * first: a dispatch that arrives later must not run after "never_ran" was
   * reported.
   */
  recover(request: RecoverRequest, now: number): Outcome<AttemptState> {
    if (!this.#fence.acceptTerm(request.key.group, request.term)) {
      return this.#rejectTerm();
    }
    if (request.bootId !== this.#options.bootId) {
      return Ok({ state: "outcome_unknown" });
    }
    const attempt = this.find(request.key);
    if (attempt === undefined) {
      this.#fence.fence(request.key, now);
      return Ok({ state: "never_ran" });
    }
    return Ok({
      state: attempt.outcome === undefined ? "running" : "finished",
    });
  }

  /** Waits for the outcome of a known attempt. */
  async waitForEnd(request: RecoverRequest): Promise<Outcome<Answer>> {
    if (!this.#fence.acceptTerm(request.key.group, request.term)) {
      return this.#rejectTerm();
    }
    const attempt = this.find(request.key);
    if (attempt === undefined || request.bootId !== this.#options.bootId) {
      return fail(
        RESULT_CODES.UNKNOWN_ATTEMPT,
        "The attempt is unknown at this sidecar",
      );
    }
    return await attempt.done;
  }

  /**
   * Cancels and fences an attempt; rejects a request with a term older than
   * the highest one of the group.
   */
  cancel(request: RecoverRequest, now: number): Outcome<Record<string, never>> {
    if (!this.#fence.acceptTerm(request.key.group, request.term)) {
      return this.#rejectTerm();
    }
    this.#fence.fence(request.key, now);
    this.find(request.key)?.cancel();
    return Ok({});
  }

  /** Evicts expired attempts and fences. */
  evictExpired(now: number): void {
    const cutoff = now - this.#options.keepMilliseconds;
    for (const [key, attempt] of this.#attempts) {
      if (attempt.endedAt >= cutoff) continue;
      this.#attempts.delete(key);
      this.#kept.remove(attempt);
    }
    for (const [key, attempt] of this.#latestAttempts) {
      if (attempt.endedAt < cutoff) this.#latestAttempts.delete(key);
    }
    this.#fence.evictBefore(cutoff);
  }

  #admit(request: DispatchRequest, now: number): Outcome<Attempt> {
    const { key, term } = request;
    if (!this.#fence.acceptTerm(key.group, term)) return this.#rejectTerm();
    if (request.bootId !== this.#options.bootId) {
      return fail(RESULT_CODES.NO_UPSTREAM, "The sidecar has restarted");
    }
    const known = this.find(key);
    if (known !== undefined && !isSuperseded(known, request)) return Ok(known);
    known?.cancel();
    if (this.#fence.isFenced(key)) {
      return fail(RESULT_CODES.STALE_TERM, "The attempt was fenced");
    }
    if (this.#draining) {
      return failDraining();
    }
    const admission = this.#options.admission;
    if (admission.isFull) {
      const retry = admission.estimateRetryMilliseconds();
      return fail(
        RESULT_CODES.QUEUE_FULL,
        "The queue of the upstream is full",
        retry,
      );
    }
    if (!this.#kept.hasRoom(request)) {
      const retry = admission.estimateRetryMilliseconds();
      return fail(
        RESULT_CODES.QUEUE_FULL,
        "The sidecar holds too many bytes of requests and answers",
        retry,
      );
    }
    const attempt = new Attempt(request, now);
    this.#kept.start(attempt);
    this.#attempts.set(formatAttemptKey(key), attempt);
    this.#latestAttempts.set(formatAttemptKey(dropAcceptance(key)), attempt);
    void this.#run(attempt);
    return Ok(attempt);
  }

  async #run(attempt: Attempt): Promise<void> {
    const { admission, metrics } = this.#options;
    const { request, arrivedAt } = attempt;
    const isAdmitted = await admission.acquire({
      priority: request.priority,
      attainedTokens: request.attainedTokens,
      arrivedAt,
    }, attempt.queueSignal);
    if (!isAdmitted) {
      const isCancelled = attempt.signal.aborted;
      const failure = isCancelled ? failCancelledBeforeRun() : failDraining();
      return this.#finish(attempt, failure);
    }
    attempt.isStarted = true;
    metrics.running.set(admission.running);
    const acquiredAt = Date.now();
    const outcome = await this.#runAtUpstream(attempt);
    admission.release(Date.now(), acquiredAt);
    metrics.running.set(admission.running);
    metrics.queued.set(admission.queued);
    this.#finish(attempt, outcome);
  }

  async #runAtUpstream(attempt: Attempt): Promise<Outcome<Answer>> {
    const { request } = attempt;
    try {
      return await this.#options.upstream.run({
        request,
        streamId: `${this.#options.bootId}-${
          formatAttemptKey(request.key).replaceAll("/", "-")
        }`,
        signal: attempt.signal,
        onText: (text) => {
          attempt.appendText(text);
          this.#kept.addText(attempt, text);
        },
      });
    } catch (thrown) {
      const message = thrown instanceof Error
        ? thrown.message
        : "Unknown error";
      this.#options.logger.error("Upstream client failed", { message });
      const code: ResultCode = isIdempotent(request.body)
        ? RESULT_CODES.UPSTREAM_ERROR
        : RESULT_CODES.OUTCOME_UNKNOWN;
      return fail(code, "The upstream client failed during the call");
    }
  }

  #finish(attempt: Attempt, outcome: Outcome<Answer>): void {
    const kind = attempt.request.body.kind;
    const code = outcome.ok ? RESULT_CODES.OK : outcome.val.code;
    this.#options.metrics.calls.inc({ kind, code: code.name });
    if (attempt.isStopped && outcome.err) this.#reportStopped(attempt, code);
    attempt.end(outcome, Date.now());
    const key = formatAttemptKey(attempt.request.key);
    if (this.#attempts.get(key) === attempt) this.#kept.finish(attempt);
    else this.#kept.remove(attempt);
  }

  #reportStopped(attempt: Attempt, code: ResultCode): void {
    const { logger, metrics } = this.#options;
    metrics.stoppedRequests.inc({ part: "sidecar", code: code.name });
    logger.warn("Attempt ended by a stop", {
      attempt: formatAttemptKey(attempt.request.key),
      code: code.number,
      milliseconds: Date.now() - attempt.arrivedAt,
    });
  }

  #rejectTerm() {
    return fail(
      RESULT_CODES.STALE_TERM,
      "The group has an owner with a later term",
    );
  }
}

/**
 * An owner may dispatch an idempotent call before the call's acceptance is
 * committed. If the owner fails before the commit, the next owner may use the
 * same attempt key for another call.
 */
function isSuperseded(known: Attempt, request: DispatchRequest): boolean {
  return known.request.term < request.term && isIdempotent(request.body);
}

/** The attempt has not started and will not start. */
function failDraining(): Outcome<never> {
  return fail(
    RESULT_CODES.DRAINING,
    "The upstream is draining",
    DRAINING_RETRY_MILLISECONDS,
  );
}

function failCancelledBeforeRun(): Outcome<Answer> {
  return fail(
    RESULT_CODES.CANCELLED,
    "The attempt was cancelled before it ran",
  );
}
