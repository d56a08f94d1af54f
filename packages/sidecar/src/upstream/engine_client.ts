/** Upstream client for a model engine. */

import type { Buffer } from "node:buffer";
import {
  type Answer,
  type CacheChange,
  createDeferred,
  fail,
  type Logger,
  type Metrics,
  type ModelCall,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import {
  EngineStream,
  STREAM_STEPS,
  type StreamStep,
} from "./engine_stream.ts";
import { EventLineReader } from "./event_lines.ts";
import {
  HttpClient,
  isConnectionRefused,
  type LimitedResponse,
  MAX_ANSWER_BYTES,
} from "./http_client.ts";
import {
  parseCacheEvents,
  parseLoad,
  parseSessions,
} from "./engine_reports.ts";
import type {
  UpstreamClient,
  UpstreamLoad,
  UpstreamRun,
} from "./upstream_client.ts";

const MAX_RESUMES = 3;
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;

/** Options of {@linkcode EngineClient}. */
export interface EngineClientOptions {
  readonly url: string;
  /** Time without data after which a stream counts as broken. */
  readonly silentMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Runs model calls on one engine and resumes their streams when they break. */
export class EngineClient implements UpstreamClient {
  readonly #options: EngineClientOptions;
  readonly #http: HttpClient;
  #lastEventSequence = 0;

  constructor(options: EngineClientOptions) {
    this.#options = options;
    this.#http = new HttpClient(options.url);
  }

  /** Runs a model call; see {@linkcode UpstreamClient.run}. */
  async run(run: UpstreamRun): Promise<Outcome<Answer>> {
    const { request, streamId } = run;
    if (request.body.kind !== "model") {
      return fail(
        RESULT_CODES.NO_UPSTREAM,
        "The upstream is a model engine and runs only model calls",
      );
    }
    const stream = new EngineStream(streamId, (text) => run.onText(text));
    let response: LimitedResponse | undefined = await this.#startStream(
      run,
      request.body,
    );
    for (let resumes = 0;; resumes++) {
      const step = response === undefined
        ? STREAM_STEPS.BROKEN
        : await this.#readStream(response, stream);
      if (step === STREAM_STEPS.COMPLETE) {
        return Ok(this.#createAnswer(stream, request.told));
      }
      if (run.signal.aborted || step === STREAM_STEPS.TOO_LONG) break;
      if (resumes === MAX_RESUMES) break;
      const reason = RESULT_CODES.UPSTREAM_ERROR.name;
      this.#options.metrics.retries.inc({ part: "engine", reason });
      response = await this.#resumeStream(streamId, stream.text.length);
    }
    void this.#cancelStream(streamId);
    if (run.signal.aborted) {
      return fail(RESULT_CODES.CANCELLED, "The attempt was cancelled");
    }
    return fail(
      RESULT_CODES.UPSTREAM_ERROR,
      "The engine's stream was too long, or broke and could not be resumed",
    );
  }

  /** Reads the loaded models and the step time. */
  async readLoad(): Promise<UpstreamLoad | undefined> {
    try {
      const response = await this.#sendControl("GET", "/v1/load");
      return parseLoad(response.body);
    } catch {
      return undefined;
    }
  }

  /** Reads the cache events since the last call; some may be missing. */
  async readCacheChanges(): Promise<readonly CacheChange[]> {
    const path = `/v1/cache/events?after=${this.#lastEventSequence}`;
    const response = await this.#sendControl("GET", path);
    const events = parseCacheEvents(response.body);
    this.#lastEventSequence = events.at(-1)?.sequence ??
      this.#lastEventSequence;
    return events.map(({ session, tokens }) => ({
      programId: session,
      tokens,
    }));
  }

  /** Lists programs with cached tokens. */
  async listSessions(): Promise<readonly string[]> {
    const response = await this.#sendControl("GET", "/v1/cache/sessions");
    return parseSessions(response.body);
  }

  /** Releases the cached tokens of a program. */
  async releaseSession(programId: string): Promise<void> {
    await this.#sendControl("DELETE", `/v1/cache/sessions/${programId}`);
  }

  async #sendControl(method: string, path: string) {
    return await this.#http.send({
      method,
      path,
      timeoutMilliseconds: CONTROL_TIMEOUT_MILLISECONDS,
    });
  }

  async #startStream(
    run: UpstreamRun,
    body: ModelCall,
  ): Promise<LimitedResponse | undefined> {
    const { request, streamId } = run;
    const payload = JSON.stringify({
      id: streamId,
      model: body.model,
      messages: request.prompt,
      max_tokens: body.maxTokens,
      priority: request.priority,
      session: request.key.programId,
      continue_text: request.told,
      stream: true,
    });
    return await this.#openStream({
      method: "POST",
      path: "/v1/chat/completions",
      payload,
      run,
    });
  }

  async #resumeStream(
    streamId: string,
    offset: number,
  ): Promise<LimitedResponse | undefined> {
    return await this.#openStream({
      method: "GET",
      path: `/v1/streams/${streamId}?offset=${offset}`,
    });
  }

  async #openStream(request: {
    readonly method: string;
    readonly path: string;
    readonly payload?: string;
    readonly run?: UpstreamRun;
  }): Promise<LimitedResponse | undefined> {
    try {
      const opened = await this.#http.open({
        method: request.method,
        path: request.path,
        payload: request.payload,
        signal: request.run?.signal,
        timeoutMilliseconds: this.#options.silentMilliseconds,
      });
      if (opened.response.statusCode === 200) return opened;
      opened.response.destroy();
      return undefined;
    } catch (thrown) {
      if (!isConnectionRefused(thrown)) return undefined;
      this.#options.logger.warn("Engine refused the connection");
      return undefined;
    }
  }

  async #readStream(
    { response, limit }: LimitedResponse,
    stream: EngineStream,
  ): Promise<StreamStep> {
    // It may have failed with its first bytes, and then reports nothing more.
    if (response.destroyed) return STREAM_STEPS.BROKEN;
    const done = createDeferred<StreamStep>();
    const lines = new EventLineReader();
    const idleTimer = setTimeout(
      () => done.resolve(STREAM_STEPS.BROKEN),
      this.#options.silentMilliseconds,
    );
    let bodyBytes = 0;
    response.on("data", (bytes: Buffer) => {
      idleTimer.refresh();
      limit.addBody(bytes);
      bodyBytes += bytes.length;
      if (bodyBytes > MAX_ANSWER_BYTES) {
        return done.resolve(STREAM_STEPS.TOO_LONG);
      }
      for (const data of lines.push(bytes)) {
        const step = stream.processData(data);
        if (step !== STREAM_STEPS.CONTINUE) return done.resolve(step);
      }
      if (lines.isTooLong) done.resolve(STREAM_STEPS.TOO_LONG);
    });
    response.on("error", () => done.resolve(STREAM_STEPS.BROKEN));
    response.on("close", () => done.resolve(STREAM_STEPS.BROKEN));
    const step = await done.promise;
    clearTimeout(idleTimer);
    response.removeAllListeners("data");
    response.destroy();
    return step;
  }

  #createAnswer(stream: EngineStream, told: string): Answer {
    this.#options.metrics.promptTokens.inc(stream.usage.promptTokens);
    this.#options.metrics.cachedTokens.inc(stream.usage.cachedTokens);
    return {
      text: told + stream.text,
      finish: stream.finish,
      usage: stream.usage,
    };
  }

  async #cancelStream(streamId: string): Promise<void> {
    await this.#sendControl("DELETE", `/v1/streams/${streamId}`).catch(() =>
      undefined
    );
  }
}
