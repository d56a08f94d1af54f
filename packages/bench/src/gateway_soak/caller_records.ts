/** Records of the callers of a gateway soak, and the checks of the promises. */

import type { OpaqueRun, OpaqueUpstream } from "@mallowlift/mocks";
import type { CallResult } from "../gateways/gateway_caller.ts";
import { REVOCATION_MILLISECONDS } from "./soak_workspaces.ts";

/** Promises that a soak checks, with the texts that it prints. */
export const PROMISES = {
  CORRECT_ANSWER: "a whole answer is the answer to its own request",
  AT_MOST_ONCE: "what may not repeat runs at most once",
  REFUSED_NEVER_RUNS: "what was refused as not run never runs",
  TURN_KEPT: "a turn that was answered whole is found",
  EXACT_HISTORY: "an upstream gets the whole history, and no other",
  BUDGET: "no program gets more than its budget and one turn",
  DOCUMENT: "an acknowledged document is never lost and never changed",
  SERVED_AGAIN: "after the faults everyone is served again",
  WORKSPACE: "an upstream gets the caller's workspace and never a key",
  REVOKED: "a key that was taken away runs nowhere after the bound",
  QUOTA: "a workspace stays within its quota over all gateways",
  CLEAN_STOP: "a planned stop ends by itself, without a fault",
  ANSWERED: "what ran at an upstream has a whole answer, also around a stop",
  STAYS_UP: "a gateway ends only when it is told to",
  MEMORY: "the memory of a gateway stays within its settings",
} as const;

/** Statuses that guarantee that the request has not run and never will. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  401,
  402,
  408,
  421,
  429,
  503,
]);

/** One request, as its caller recorded it. */
export interface SentCall {
  readonly callId: string;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Body that an upstream must receive; undefined if it is not checked. */
  readonly prompt: string | undefined;
  readonly workspace: string;
  /** Only document version that has the key; undefined if all versions have it. */
  readonly keyVersion?: number;
  /** Time of sending by the local monotonic clock, ms; set with `keyVersion`. */
  readonly sentAt?: number;
  /** Answer; undefined until the call has ended. */
  seen: CallResult | undefined;
}

/** One violation of a promise. */
export interface PromiseViolation {
  readonly promise: string;
  readonly details: string;
}

/** Collects calls, counts and violations of promises. */
export class CallerRecords {
  readonly broken: PromiseViolation[] = [];
  /** Number of events, by name. */
  readonly counts = new Map<string, number>();
  readonly #calls = new Map<string, SentCall>();
  /** Acknowledged document versions and the times of their answers, ms. */
  readonly #acknowledged: { version: number; at: number }[] = [];

  /** Number of recorded requests. */
  get size(): number {
    return this.#calls.size;
  }

  /** Records a request; call it before the request is sent. */
  add(call: SentCall): void {
    this.#calls.set(call.callId, call);
  }

  /** Records that a document version was acknowledged at a time in ms. */
  addAcknowledged(version: number, at: number): void {
    this.#acknowledged.push({ version, at });
  }

  /** Counts an event by name. */
  count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Records the largest value of a figure by name. */
  recordMost(name: string, value: number): void {
    this.counts.set(name, Math.max(this.counts.get(name) ?? 0, value));
  }

  /** Records a violation of a promise. */
  fail(promise: string, details: string): void {
    this.broken.push({ promise, details });
  }

  /** Compares the runs of the upstreams with the callers' requests and answers. */
  checkRuns(upstreams: readonly OpaqueUpstream[]): void {
    const runs = new Map<string, number>();
    for (const upstream of upstreams) {
      for (const run of upstream.runs) {
        runs.set(run.callId, (runs.get(run.callId) ?? 0) + 1);
        const call = this.#calls.get(run.callId);
        if (call === undefined) {
          this.fail(
            PROMISES.EXACT_HISTORY,
            `${run.callId} was not sent by any caller`,
          );
        } else if (call.prompt !== undefined && call.prompt !== run.body) {
          this.fail(
            PROMISES.EXACT_HISTORY,
            `${run.callId} got an unexpected history`,
          );
        }
        if (call !== undefined) this.#checkWorkspace(call, run.headers);
      }
    }
    for (const [callId, count] of runs) this.#checkRunCount(callId, count);
  }

  /** Checks that a workspace's runs in the whole soak stay within its quota. */
  checkQuota(
    upstreams: readonly OpaqueUpstream[],
    quota: { readonly workspace: string; readonly maxRuns: number },
  ): void {
    const runs = upstreams.flatMap((upstream) => upstream.runs)
      .filter(({ headers }) => headers["x-workspace"] === quota.workspace);
    if (runs.length <= quota.maxRuns) return;
    this.fail(PROMISES.QUOTA, `${runs.length} ran, ${quota.maxRuns} allowed`);
  }

  #checkWorkspace(call: SentCall, headers: OpaqueRun["headers"]): void {
    const { callId, workspace, keyVersion, sentAt = 0 } = call;
    if (headers["x-workspace"] !== workspace || headers.authorization) {
      this.fail(PROMISES.WORKSPACE, callId);
    }
    if (keyVersion === undefined) return;
    const revocationTimes = this.#acknowledged.filter(({ version }) =>
      version > keyVersion
    ).map(({ at }) => at);
    const lateMilliseconds = sentAt - Math.min(...revocationTimes);
    if (lateMilliseconds <= REVOCATION_MILLISECONDS) return;
    this.fail(
      PROMISES.REVOKED,
      `${callId} was sent ${lateMilliseconds} ms after the revocation`,
    );
  }

  #checkRunCount(callId: string, count: number): void {
    const call = this.#calls.get(callId);
    if (call === undefined) return;
    if (!call.mayRepeat && count > 1) {
      this.fail(PROMISES.AT_MOST_ONCE, `${callId} ran ${count} times`);
    }
    const status = call.seen?.status ?? 0;
    if (!call.mayRepeat && NOT_RUN_STATUSES.has(status)) {
      this.fail(PROMISES.REFUSED_NEVER_RUNS, `${callId} got ${status} and ran`);
    }
  }
}
