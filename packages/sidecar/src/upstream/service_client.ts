/** Upstream client for one instance of a service without a model. */

import {
  type Answer,
  type CacheChange,
  fail,
  NO_USAGE,
  type Outcome,
  RESULT_CODES,
  type ServiceCall,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import {
  HttpClient,
  isConnectionRefused,
  MAX_ANSWER_BYTES,
} from "./http_client.ts";
import type {
  UpstreamClient,
  UpstreamLoad,
  UpstreamRun,
} from "./upstream_client.ts";

const HEALTH_TIMEOUT_MILLISECONDS = 2_000;

/** Runs service calls on one instance. */
export class ServiceClient implements UpstreamClient {
  readonly #http: HttpClient;
  readonly #silentMilliseconds: number;

  constructor(url: string, silentMilliseconds: number) {
    this.#http = new HttpClient(url);
    this.#silentMilliseconds = silentMilliseconds;
  }

  /** Runs a service call; see {@linkcode UpstreamClient.run}. */
  async run(run: UpstreamRun): Promise<Outcome<Answer>> {
    const body = run.request.body;
    if (body.kind !== "service") {
      return fail(
        RESULT_CODES.NO_UPSTREAM,
        "The upstream is a service and runs only service calls",
      );
    }
    try {
      const response = await this.#send(run, body);
      run.onText(response.body);
      return Ok({
        text: response.body,
        finish: String(response.status),
        usage: NO_USAGE,
      });
    } catch (thrown) {
      if (isConnectionRefused(thrown)) {
        return fail(
          RESULT_CODES.NO_UPSTREAM,
          "The service refused the connection",
        );
      }
      if (body.idempotent) {
        return fail(
          RESULT_CODES.UPSTREAM_ERROR,
          "The service call failed before its response was complete",
        );
      }
      return fail(
        RESULT_CODES.OUTCOME_UNKNOWN,
        "The service call may have run: it failed before its response was complete",
      );
    }
  }

  /** Checks that the service responds; services report no load. */
  async readLoad(): Promise<UpstreamLoad | undefined> {
    try {
      await this.#http.send({
        method: "GET",
        path: "/healthz",
        timeoutMilliseconds: HEALTH_TIMEOUT_MILLISECONDS,
      });
      return { models: [], stepMilliseconds: 1 };
    } catch {
      return undefined;
    }
  }

  /** Returns nothing: services keep no sessions or cache for programs. */
  readCacheChanges(): Promise<readonly CacheChange[]> {
    return Promise.resolve([]);
  }

  /** Returns nothing: services keep no sessions or cache for programs. */
  listSessions(): Promise<readonly string[]> {
    return Promise.resolve([]);
  }

  /** Does nothing: services keep no sessions or cache for programs. */
  releaseSession(): Promise<void> {
    return Promise.resolve();
  }

  async #send(run: UpstreamRun, body: ServiceCall) {
    const { programId, requestId } = run.request.key;
    return await this.#http.send({
      method: "POST",
      path: `/v1/operations/${body.operation}`,
      payload: body.payload,
      headers: { "idempotency-key": `${programId}/${requestId}` },
      timeoutMilliseconds: this.#silentMilliseconds,
      maxBytes: MAX_ANSWER_BYTES,
      signal: run.signal,
    });
  }
}
