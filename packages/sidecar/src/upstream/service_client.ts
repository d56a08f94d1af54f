/** Speaks to one instance of a plain service. */

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
import { HttpClient, isConnectionRefused } from "./http_client.ts";
import type {
  UpstreamClient,
  UpstreamLoad,
  UpstreamRun,
} from "./upstream_client.ts";

const LOAD_MILLISECONDS = 2_000;

/** Runs service calls. */
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
      return fail(RESULT_CODES.NO_UPSTREAM, "The upstream is a plain service");
    }
    try {
      const answer = await this.#send(run, body);
      run.onText(answer.body);
      return Ok({
        text: answer.body,
        finish: String(answer.status),
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
        return fail(RESULT_CODES.UPSTREAM_ERROR, "The service broke off");
      }
      return fail(
        RESULT_CODES.OUTCOME_UNKNOWN,
        "The service broke off before it answered",
      );
    }
  }

  /** A service reports no load; an answer shows that it lives. */
  async readLoad(): Promise<UpstreamLoad | undefined> {
    try {
      await this.#http.send({
        method: "GET",
        path: "/healthz",
        timeoutMilliseconds: LOAD_MILLISECONDS,
      });
      return { models: [], stepMilliseconds: 1 };
    } catch {
      return undefined;
    }
  }

  /** A service keeps no memory for programs. */
  readCacheChanges(): Promise<readonly CacheChange[]> {
    return Promise.resolve([]);
  }

  /** A service keeps no memory for programs. */
  listSessions(): Promise<readonly string[]> {
    return Promise.resolve([]);
  }

  /** A service keeps no memory for programs. */
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
      signal: run.signal,
      fresh: !body.idempotent,
    });
  }
}
