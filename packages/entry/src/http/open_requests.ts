/** The open requests of an entry, which a planned stop answers before its end. */

import { performance } from "node:perf_hooks";
import type { Request } from "@hapi/hapi";
import {
  ABORTED,
  type CodedError,
  type Logger,
  type Metrics,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";

/** Reason of a request's signal if this entry stops. */
export const STOPPING = "stopping";

const POLL_MILLISECONDS = 20;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Error for a request that was not sent to an owner. */
export const DRAINING_ERROR: CodedError = {
  code: RESULT_CODES.DRAINING,
  message: "This entry is draining",
  retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
};

interface OpenRequest {
  readonly controller: AbortController;
  readonly openedAt: number;
}

/** Options of {@linkcode OpenRequests}. */
export interface OpenRequestsOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Tracks requests until their response has ended. */
export class OpenRequests {
  readonly #options: OpenRequestsOptions;
  readonly #requests = new Map<Request, OpenRequest>();

  constructor(options: OpenRequestsOptions) {
    this.#options = options;
  }

  /** Number of open requests. */
  get count(): number {
    return this.#requests.size;
  }

  /** Adds a request until its response has ended or its caller disconnects. */
  add(request: Request, now: number): void {
    const controller = new AbortController();
    this.#requests.set(request, { controller, openedAt: now });
    request.raw.res.once("close", () => {
      this.#requests.delete(request);
      controller.abort(ABORTED);
    });
  }

  /**
   * Returns a signal that aborts when the caller disconnects, or with
   * {@linkcode STOPPING} when the request must be answered because of a stop. A
   * call that its owner has accepted continues without the caller.
   */
  getSignal(request: Request): AbortSignal {
    const open = this.#requests.get(request);
    return open?.controller.signal ?? AbortSignal.abort(ABORTED);
  }

  /** Waits until no request is open, or until a monotonic time in ms. */
  async waitUntilEmpty(until: number): Promise<void> {
    while (this.#requests.size > 0 && performance.now() < until) {
      await sleep(POLL_MILLISECONDS);
    }
  }

  /** Asks the handlers of all open requests to answer now. */
  endAll(): void {
    for (const { controller } of this.#requests.values()) {
      controller.abort(STOPPING);
    }
  }

  /** Logs and counts a request that a stop ended, with the code of its answer. */
  reportStopped(request: Request, error: CodedError): void {
    const open = this.#requests.get(request);
    if (open?.controller.signal.reason !== STOPPING) return;
    const code = error.code.name;
    this.#options.metrics.stoppedRequests.inc({ part: "entry", code });
    this.#options.logger.warn("Request ended by a stop", {
      code: error.code.number,
      method: request.method,
      route: request.route.path,
      milliseconds: Math.round(performance.now() - open.openedAt),
    });
  }
}
