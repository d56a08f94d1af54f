/** Speaks to a model engine. */

import type { IncomingMessage } from "node:http";
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
import { HttpClient, isConnectionRefused } from "./http_client.ts";
import type {
  UpstreamClient,
  UpstreamLoad,
  UpstreamRun,
} from "./upstream_client.ts";

const MAX_RESUMES = 3;
const CONTROL_MILLISECONDS = 2_000;

/** What an engine client needs. */
export interface EngineClientOptions {
  readonly url: string;
  /** Silence within a stream after which it has failed. */
  readonly silentMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface EngineCacheEvent {
  readonly sequence: number;
  readonly session: string;
  readonly tokens: number;
}

/** Runs model calls on one engine. */
export class EngineClient implements UpstreamClient {
  readonly #options: EngineClientOptions;
  readonly #http: HttpClient;
  #lastEvent = 0;

  constructor(options: EngineClientOptions) {
    this.#options = options;
    this.#http = new HttpClient(options.url);
  }

  /** Runs a model call; see {@linkcode UpstreamClient.run}. */
  async run(run: UpstreamRun): Promise<Outcome<Answer>> {
    const { request, streamId } = run;
    if (request.body.kind !== "model") {
      return fail(RESULT_CODES.NO_UPSTREAM, "The upstream is a model engine");
    }
    const stream = new EngineStream(streamId, (text) => run.onText(text));
    let response: IncomingMessage | undefined = await this.#start(
      run,
      request.body,
    );
    for (let resumes = 0; resumes <= MAX_RESUMES; resumes++) {
      const step = response === undefined
        ? STREAM_STEPS.BROKEN
        : await this.#read(response, stream);
      if (step === STREAM_STEPS.WHOLE) {
        return Ok(this.#finish(stream, request.told));
      }
      if (run.signal.aborted) break;
      const reason = RESULT_CODES.UPSTREAM_ERROR.name;
      this.#options.metrics.retries.inc({ part: "engine", reason });
      response = await this.#resume(streamId, stream.text.length);
    }
    void this.#cancel(streamId);
    if (run.signal.aborted) {
      return fail(RESULT_CODES.CANCELLED, "The attempt was cancelled");
    }
    return fail(
      RESULT_CODES.UPSTREAM_ERROR,
      "The engine broke off and did not resume",
    );
  }

  /** Reads models and step time. */
  async readLoad(): Promise<UpstreamLoad | undefined> {
    try {
      const answer = await this.#control("GET", "/v1/load");
      const load = JSON.parse(answer.body) as {
        models: readonly string[];
        step_milliseconds: number;
      };
      return { models: load.models, stepMilliseconds: load.step_milliseconds };
    } catch {
      return undefined;
    }
  }

  /** Reads the cache events since the last reading; there may be gaps. */
  async readCacheChanges(): Promise<readonly CacheChange[]> {
    const path = `/v1/cache/events?after=${this.#lastEvent}`;
    const answer = await this.#control("GET", path);
    const { events } = JSON.parse(answer.body) as {
      readonly events: readonly EngineCacheEvent[];
    };
    this.#lastEvent = events.at(-1)?.sequence ?? this.#lastEvent;
    return events.map(({ session, tokens }) => ({
      programId: session,
      tokens,
    }));
  }

  /** Lists programs with cached tokens. */
  async listSessions(): Promise<readonly string[]> {
    const answer = await this.#control("GET", "/v1/cache/sessions");
    return (JSON.parse(answer.body) as { sessions: readonly string[] })
      .sessions;
  }

  /** Frees the cache of a program. */
  async releaseSession(programId: string): Promise<void> {
    await this.#control("DELETE", `/v1/cache/sessions/${programId}`);
  }

  async #control(method: string, path: string) {
    return await this.#http.send({
      method,
      path,
      timeoutMilliseconds: CONTROL_MILLISECONDS,
    });
  }

  async #start(
    run: UpstreamRun,
    body: ModelCall,
  ): Promise<IncomingMessage | undefined> {
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
    return await this.#open({
      method: "POST",
      path: "/v1/chat/completions",
      payload,
      run,
    });
  }

  async #resume(
    streamId: string,
    offset: number,
  ): Promise<IncomingMessage | undefined> {
    return await this.#open({
      method: "GET",
      path: `/v1/streams/${streamId}?offset=${offset}`,
    });
  }

  async #open(request: {
    readonly method: string;
    readonly path: string;
    readonly payload?: string;
    readonly run?: UpstreamRun;
  }): Promise<IncomingMessage | undefined> {
    try {
      const response = await this.#http.open({
        method: request.method,
        path: request.path,
        payload: request.payload,
        signal: request.run?.signal,
        timeoutMilliseconds: this.#options.silentMilliseconds,
      });
      if (response.statusCode === 200) return response;
      response.resume();
      return undefined;
    } catch (thrown) {
      if (!isConnectionRefused(thrown)) return undefined;
      this.#options.logger.warn("Engine refused the connection");
      return undefined;
    }
  }

  async #read(
    response: IncomingMessage,
    stream: EngineStream,
  ): Promise<StreamStep> {
    const done = createDeferred<StreamStep>();
    const lines = new EventLineReader();
    const silence = setTimeout(
      () => done.resolve(STREAM_STEPS.BROKEN),
      this.#options.silentMilliseconds,
    );
    response.on("data", (bytes: Buffer) => {
      silence.refresh();
      for (const data of lines.push(bytes)) {
        const step = stream.take(data);
        if (step !== STREAM_STEPS.GO_ON) return done.resolve(step);
      }
    });
    response.on("error", () => done.resolve(STREAM_STEPS.BROKEN));
    response.on("close", () => done.resolve(STREAM_STEPS.BROKEN));
    const step = await done.promise;
    clearTimeout(silence);
    response.removeAllListeners("data");
    if (step === STREAM_STEPS.WHOLE) response.resume();
    else response.destroy();
    return step;
  }

  #finish(stream: EngineStream, told: string): Answer {
    this.#options.metrics.promptTokens.inc(stream.usage.promptTokens);
    this.#options.metrics.cachedTokens.inc(stream.usage.cachedTokens);
    return {
      text: told + stream.text,
      finish: stream.finish,
      usage: stream.usage,
    };
  }

  async #cancel(streamId: string): Promise<void> {
    await this.#control("DELETE", `/v1/streams/${streamId}`).catch(() =>
      undefined
    );
  }
}
