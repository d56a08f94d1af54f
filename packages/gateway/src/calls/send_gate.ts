/** Checks the key and the permit of a call before each send. */

import { performance } from "node:perf_hooks";
import { type CodedError, RESULT_CODES } from "@mallowlift/core";
import type { PermitPool } from "../quotas/permit_pool.ts";
import {
  findWorkspaceQuota,
  type QuotaTerms,
  type WorkspaceQuota,
} from "../quotas/quota_bound.ts";
import type { KeyAdmission } from "../workspaces/key_admission.ts";
import type { OpenCall } from "./open_call.ts";

/** Fraction of a call's remaining time to wait for a permit at most. */
const PERMIT_WAIT_FRACTION = 0.5;

/** Options of a {@linkcode SendGate}. */
export interface SendGateOptions {
  readonly admission: KeyAdmission;
  readonly permits: PermitPool;
  readonly terms: QuotaTerms;
  /** Longest wait for the leader, ms. */
  readonly waitMilliseconds: number;
}

/**
 * Admits calls that have a confirmed key and an unused permit. Both are checked
 * again right before the request is written, because the process may have been
 * suspended in between.
 */
export class SendGate {
  readonly #options: SendGateOptions;

  constructor(options: SendGateOptions) {
    this.#options = options;
  }

  /** The quota that the call is charged to; undefined if there is none. */
  findQuota(call: OpenCall): WorkspaceQuota | undefined {
    const { workspace, table } = call.parts;
    if (workspace === undefined) return undefined;
    const { version } = table.document;
    return findWorkspaceQuota(workspace, {
      version,
      terms: this.#options.terms,
    });
  }

  /** Stores a permit for the call's next send; its lifetime began when it was requested. */
  grantPermit(call: OpenCall, requestedAt: number): void {
    const quota = this.findQuota(call);
    if (quota !== undefined) {
      call.grantPermit(requestedAt + quota.permitLifetimeMilliseconds);
    }
  }

  /**
   * Waits for a confirmed key and a permit.
   *
   * @returns why the call may not be sent; undefined if it may
   */
  async admit(call: OpenCall): Promise<CodedError | undefined> {
    const { admission, permits, waitMilliseconds } = this.#options;
    if (this.findRefusal(call, performance.now()) === undefined) {
      return undefined;
    }
    const confirmed = await admission.confirm(call.parts);
    if (confirmed.err) return confirmed.val;
    const quota = this.findQuota(call);
    const now = performance.now();
    if (quota === undefined || call.hasPermit(now)) return undefined;
    const maxWait = PERMIT_WAIT_FRACTION * call.findRemainingMilliseconds(now);
    const limitMilliseconds = Math.min(waitMilliseconds, maxWait);
    const taken = await permits.take(quota, { now, limitMilliseconds });
    if (taken.err) return taken.val;
    call.grantPermit(taken.val);
    return undefined;
  }

  /** Why the call may not be sent right now; undefined if it may. */
  findRefusal(call: OpenCall, now: number): CodedError | undefined {
    if (!this.#options.admission.isValid(call.parts, now)) {
      return createError(RESULT_CODES.CONFIGURATION_STALE);
    }
    const isCharged = this.findQuota(call) !== undefined;
    if (!isCharged || call.hasPermit(now)) return undefined;
    return createError(RESULT_CODES.NO_QUORUM);
  }
}

function createError(code: CodedError["code"]): CodedError {
  return { code, message: code.meaning };
}
