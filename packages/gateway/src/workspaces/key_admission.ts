/**
 * Decides which requests are admitted: their route must exist, and unless it is
 * public they must carry the key of a workspace.
 *
 * A key is accepted only if a quorum has confirmed within a bounded time that
 * the document in force is the newest. A gateway that is partitioned, suspended
 * or connected to a deposed leader therefore stops accepting keys before the
 * time by which a revocation that it has not received must take effect.
 */

import { performance } from "node:perf_hooks";
import {
  type CodedError,
  fail,
  hashText,
  type Outcome,
  RESULT_CODES,
  type Route,
  type Workspace,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { RawHeaders } from "../dialect.ts";
import { findHeader } from "../http/headers.ts";
import type { RouteTable } from "../routing/route_table.ts";
import { readBearerKey } from "./bearer_key.ts";
import { hasWorkspaces } from "./scoped_id.ts";

/** Retry delay while a gateway does not know the newest document, ms. */
export const STALE_RETRY_MILLISECONDS = 500;

/** The parts of a request that its admission depends on. */
export interface AdmissionRequest {
  readonly host: string;
  readonly path: string;
  readonly headers: RawHeaders;
}

/** The result for an admitted request. */
export interface Admission {
  readonly route: Route;
  readonly table: RouteTable;
  /** Undefined if no key is needed and the request has no known key. */
  readonly workspace: Workspace | undefined;
  /** Digest of the request's key; empty if there is no workspace. */
  readonly keyDigest: string;
}

/** Options of a {@linkcode KeyAdmission}. */
export interface KeyAdmissionOptions {
  readonly getRoutes: () => RouteTable | undefined;
  /** True if the document in force is known to be the newest. */
  readonly isNewest: (now: number) => boolean;
  /** Time since a quorum confirmed that the document in force is the newest, ms. */
  readonly findConfirmationAgeMilliseconds: (now: number) => number;
  /** Resolves when the document or its confirmation may have changed, or after the limit, ms. */
  readonly waitForUpdate: (limitMilliseconds: number) => Promise<void>;
  /** Timeout for a document or its confirmation, ms. */
  readonly waitMilliseconds: number;
  /** Time after its revocation from which no gateway may accept a key, ms. */
  readonly revocationMilliseconds: number;
}

/** Fraction of the revocation time reserved for clock drift and for sending. */
const REVOCATION_MARGIN_FRACTION = 0.1;

/** Admits requests by the newest routing document. */
export class KeyAdmission {
  readonly #options: KeyAdmissionOptions;

  constructor(options: KeyAdmissionOptions) {
    this.#options = options;
  }

  /** Admits a request; waits while the newest document is needed but not known. */
  async admit(request: AdmissionRequest): Promise<Outcome<Admission>> {
    const until = performance.now() + this.#options.waitMilliseconds;
    while (true) {
      const now = performance.now();
      const decision = this.evaluate(request, now);
      const isUndecided = decision.err &&
        decision.val.code === RESULT_CODES.CONFIGURATION_STALE;
      if (!isUndecided || now >= until) return decision;
      await this.#options.waitForUpdate(until - now);
    }
  }

  /** Decides from the current state; CONFIGURATION_STALE if that is not enough. */
  evaluate(request: AdmissionRequest, now: number): Outcome<Admission> {
    const table = this.#options.getRoutes();
    if (table === undefined) return refuseStale("No routing document yet");
    const route = table.find(request.host, request.path);
    if (route === undefined) {
      return this.#refuseIfNewest(now, {
        code: RESULT_CODES.ROUTE_NOT_FOUND,
        message: "No route matches this host and path",
      });
    }
    const anonymous = { route, table, workspace: undefined, keyDigest: "" };
    if (!hasWorkspaces(table.document)) return Ok(anonymous);
    const key = readBearerKey(request.headers);
    const keyDigest = key === undefined ? "" : hashText(key);
    const workspace = table.findWorkspace(keyDigest);
    if (workspace === undefined) {
      if (route.isPublic === true) return Ok(anonymous);
      return this.#refuseIfNewest(now, {
        code: RESULT_CODES.NOT_AUTHENTICATED,
        message: RESULT_CODES.NOT_AUTHENTICATED.meaning,
      });
    }
    if (!this.areKeysAccepted(now)) {
      return refuseStale("No quorum confirmed the workspace keys in time");
    }
    return Ok({ route, table, workspace, keyDigest });
  }

  /** Waits until an admitted request may be sent; an error if it may not. */
  async confirm(admission: Admission): Promise<Outcome<void>> {
    const until = performance.now() + this.#options.waitMilliseconds;
    while (true) {
      const now = performance.now();
      if (this.isValid(admission, now)) return Ok(undefined);
      if (!this.#isKeyKnown(admission)) {
        return fail(RESULT_CODES.NOT_AUTHENTICATED, "The key was revoked");
      }
      if (now >= until) {
        return refuseStale("No quorum confirmed the workspace keys in time");
      }
      await this.#options.waitForUpdate(until - now);
    }
  }

  /** True if the request may still be sent in the current state. */
  isValid(admission: Admission, now: number): boolean {
    if (admission.keyDigest === "") return true;
    return this.#isKeyKnown(admission) && this.areKeysAccepted(now);
  }

  /** True if keys are currently accepted or none are needed. */
  areKeysAccepted(now: number): boolean {
    const table = this.#options.getRoutes();
    if (table === undefined) return false;
    if (!hasWorkspaces(table.document)) return true;
    const {
      revocationMilliseconds,
      findConfirmationAgeMilliseconds: findConfirmationAge,
    } = this.#options;
    return findConfirmationAge(now) <
      revocationMilliseconds * (1 - REVOCATION_MARGIN_FRACTION);
  }

  #isKeyKnown({ keyDigest }: Admission): boolean {
    const table = this.#options.getRoutes();
    return table?.findWorkspace(keyDigest) !== undefined;
  }

  /** Refuses with the error if the document is the newest, else as stale. */
  #refuseIfNewest(now: number, error: CodedError): Outcome<Admission> {
    if (this.#options.isNewest(now)) return fail(error.code, error.message);
    return refuseStale(
      "This gateway does not know the newest routing document",
    );
  }
}

/** Reads the parts of a request that its admission depends on. */
export function describeRequest(request: {
  readonly url?: string | undefined;
  readonly rawHeaders: RawHeaders;
}): AdmissionRequest {
  return {
    host: findHeader(request.rawHeaders, "host") ?? "",
    path: request.url?.split("?", 1)[0] ?? "/",
    headers: request.rawHeaders,
  };
}

function refuseStale(message: string): ReturnType<typeof fail> {
  return fail(
    RESULT_CODES.CONFIGURATION_STALE,
    message,
    STALE_RETRY_MILLISECONDS,
  );
}
