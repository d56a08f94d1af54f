/** All attempts that a sidecar knows, and the rules by which one may run. */

import {
  type Answer,
  type AttemptKey,
  type AttemptState,
  countRefusal,
  type DispatchRequest,
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

const DRAINED_RETRY_MILLISECONDS = 1_000;

/** What the table needs. */
export interface AttemptTableOptions {
  readonly bootId: string;
  readonly admission: Admission;
  readonly upstream: UpstreamClient;
  readonly keepMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Attempts by key. */
export class AttemptTable {
  readonly #options: AttemptTableOptions;
  readonly #attempts = new Map<string, Attempt>();
  readonly #fence = new Fence();
  #draining = false;

  constructor(options: AttemptTableOptions) {
    this.#options = options;
  }

  /** True once the upstream is leaving. */
  get isDraining(): boolean {
    return this.#draining;
  }

  /** Attempts that have not ended. */
  get openCount(): number {
    let open = 0;
    for (const attempt of this.#attempts.values()) {
      if (attempt.outcome === undefined) open++;
    }
    return open;
  }

  /** Refuses new work from now on, or takes it again. */
  setDraining(draining: boolean): void {
    if (this.#draining !== draining) {
      this.#options.logger.info(draining ? "Draining" : "Taking work again");
    }
    this.#draining = draining;
  }

  /** Runs an attempt and returns its end; the same attempt again joins the first. */
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

  /** Returns an attempt that may still be on its way here. */
  find(key: AttemptKey): Attempt | undefined {
    return this.#attempts.get(formatAttemptKey(key));
  }

  /**
   * Tells an owner what became of an attempt. One that was never seen is
   * fenced first, so that "never ran" stays true.
   */
  recover(request: RecoverRequest, now: number): Outcome<AttemptState> {
    if (!this.#fence.admitTerm(request.key.group, request.term)) {
      return this.#refuseTerm();
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

  /** Waits for the end of a known attempt. */
  async waitForEnd(request: RecoverRequest): Promise<Outcome<Answer>> {
    if (!this.#fence.admitTerm(request.key.group, request.term)) {
      return this.#refuseTerm();
    }
    const attempt = this.find(request.key);
    if (attempt === undefined || request.bootId !== this.#options.bootId) {
      return fail(
        RESULT_CODES.UNKNOWN_ATTEMPT,
        "The attempt is not known here",
      );
    }
    return await attempt.done;
  }

  /** Cancels an attempt, if its owner still leads. */
  cancel(request: RecoverRequest, now: number): Outcome<Record<string, never>> {
    if (!this.#fence.admitTerm(request.key.group, request.term)) {
      return this.#refuseTerm();
    }
    this.#fence.fence(request.key, now);
    this.find(request.key)?.cancel();
    return Ok({});
  }

  /** Forgets old answers and fences. */
  forgetOld(now: number): void {
    const before = now - this.#options.keepMilliseconds;
    for (const [key, attempt] of this.#attempts) {
      if (attempt.endedAt < before) this.#attempts.delete(key);
    }
    this.#fence.forgetBefore(before);
  }

  #admit(request: DispatchRequest, now: number): Outcome<Attempt> {
    const { key, term } = request;
    if (!this.#fence.admitTerm(key.group, term)) return this.#refuseTerm();
    if (request.bootId !== this.#options.bootId) {
      return fail(RESULT_CODES.NO_UPSTREAM, "The sidecar has restarted");
    }
    const known = this.find(key);
    if (known !== undefined && !isReplaced(known, request)) return Ok(known);
    known?.cancel();
    if (this.#fence.isFenced(key)) {
      return fail(RESULT_CODES.STALE_TERM, "The attempt was fenced");
    }
    if (this.#draining) {
      return fail(
        RESULT_CODES.DRAINING,
        "The upstream is leaving",
        DRAINED_RETRY_MILLISECONDS,
      );
    }
    const admission = this.#options.admission;
    if (admission.isFull) {
      const retry = admission.estimateRetryMilliseconds();
      return fail(RESULT_CODES.QUEUE_FULL, "The queue is full", retry);
    }
    const attempt = new Attempt(request, now);
    this.#attempts.set(formatAttemptKey(key), attempt);
    void this.#run(attempt);
    return Ok(attempt);
  }

  async #run(attempt: Attempt): Promise<void> {
    const { admission, metrics } = this.#options;
    const { request, arrivedAt } = attempt;
    const entered = await admission.enter({
      priority: request.priority,
      attainedTokens: request.attainedTokens,
      arrivedAt,
    }, attempt.signal);
    if (!entered) return this.#end(attempt, cancelledBeforeRunning());
    metrics.running.set(admission.running);
    const enteredAt = Date.now();
    const outcome = await this.#runAtUpstream(attempt);
    admission.leave(Date.now(), enteredAt);
    metrics.running.set(admission.running);
    metrics.queued.set(admission.queued);
    this.#end(attempt, outcome);
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
        onText: (text) => attempt.addText(text),
      });
    } catch (thrown) {
      const message = thrown instanceof Error
        ? thrown.message
        : "Unknown fault";
      this.#options.logger.error("Upstream client failed", { message });
      const code: ResultCode = isIdempotent(request.body)
        ? RESULT_CODES.UPSTREAM_ERROR
        : RESULT_CODES.OUTCOME_UNKNOWN;
      return fail(code, "The call failed at the upstream");
    }
  }

  #end(attempt: Attempt, outcome: Outcome<Answer>): void {
    const kind = attempt.request.body.kind;
    const code = outcome.ok ? RESULT_CODES.OK : outcome.val.code;
    this.#options.metrics.calls.inc({ kind, code: code.name });
    attempt.end(outcome, Date.now());
  }

  #refuseTerm() {
    return fail(
      RESULT_CODES.STALE_TERM,
      "A later owner of the group was heard",
    );
  }
}

/**
 * An owner may send an idempotent call before its acceptance is committed. If
 * that was lost with the owner, a later owner's attempt of the same number
 * may be another call.
 */
function isReplaced(known: Attempt, request: DispatchRequest): boolean {
  return known.request.term < request.term && isIdempotent(request.body);
}

function cancelledBeforeRunning(): Outcome<Answer> {
  return fail(
    RESULT_CODES.CANCELLED,
    "The attempt was cancelled before it ran",
  );
}
