/**
 * A fake model engine with continuous batching, a prefix cache, priorities,
 * resumable streams and orders, which load or unload models or set its role.
 */

import {
  type Request,
  type ResponseObject,
  type ResponseToolkit,
  Server,
  type ServerRoute,
} from "@hapi/hapi";
import { ABORTED, sleep } from "@mallowlift/core";
import { CacheEvents } from "./cache_events.ts";
import { Generation, type GenerationRequest } from "./generation.ts";
import { LoadSamples } from "./load_samples.ts";
import { type ExportedPrefix, PrefixCache } from "./prefix_cache.ts";
import { type StreamFaults, streamGeneration } from "./stream_generation.ts";

const PREFILL_TOKENS_PER_STEP = 512;
const FINISHED_RETENTION_MILLISECONDS = 10_000;
const MAX_BODY_BYTES = 64 * 1_024 * 1_024;
const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;

/** Behaviour of a fake engine. */
export interface FakeEngineOptions {
  /** Models that are loaded at the start. */
  readonly models: readonly string[];
  /**
   * Duration of one step, ms. In a step, each running generation processes a
   * part of its prompt or generates one token.
   */
  readonly stepMilliseconds: number;
  /** Most generations that run at once. */
  readonly maxBatch: number;
  /** Capacity of the prefix cache, tokens. */
  readonly cacheTokens: number;
  /** Whether orders with an outdated fencing number are rejected. */
  readonly checksFencing: boolean;
  /** Age of the reported load, ms. */
  readonly loadLagMilliseconds: number;
  /** Time from a cache event until it is published, ms. */
  readonly eventLagMilliseconds: number;
  /** Leaves out one cache event in this many, with 3 every third; 0 for none. */
  readonly eventGap: number;
  /** Part of the seed of all answers, so that engines can differ in them. */
  readonly salt: string;
}

/** Default options of a fake engine. */
export const DEFAULT_ENGINE_OPTIONS: FakeEngineOptions = {
  models: ["field-guide"],
  stepMilliseconds: 5,
  maxBatch: 32,
  cacheTokens: 200_000,
  checksFencing: true,
  loadLagMilliseconds: 0,
  eventLagMilliseconds: 0,
  eventGap: 0,
  salt: "",
};

/** Faults that a test can enable at run time. */
export interface EngineFaults extends StreamFaults {
  /** Stops generating, while all connections stay open. */
  frozen: boolean;
}

interface EngineOrderBody {
  readonly action: string;
  readonly target: string;
  readonly fencing_number: number;
}

/** One order that the engine executed. */
export interface ExecutedOrder extends EngineOrderBody {
  /** Time of execution, ms since the epoch. */
  readonly at: number;
}

/** A fake engine that listens on HTTP. */
export class FakeEngine {
  readonly faults: EngineFaults = {
    breakAfterEvents: 0,
    duplicateEvents: false,
    injectForeignEvents: false,
    frozen: false,
  };
  readonly orders: ExecutedOrder[] = [];
  readonly #options: FakeEngineOptions;
  readonly #server: Server;
  readonly #cache: PrefixCache;
  readonly #generations = new Map<string, Generation>();
  readonly #events: CacheEvents;
  readonly #loadSamples: LoadSamples;
  readonly #models: Set<string>;
  readonly #stopController = new AbortController();
  #waiting: Generation[] = [];
  #running: Generation[] = [];
  #role = "mixed";
  #highestFencingNumber = 0;
  #isStepping = false;
  /** Number of generations requested so far. */
  generations = 0;
  promptTokens = 0;
  cachedTokens = 0;

  constructor(
    options: Partial<FakeEngineOptions> = {},
    listen = { host: "127.0.0.1", port: 0 },
  ) {
    this.#options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.#models = new Set(this.#options.models);
    this.#cache = new PrefixCache(this.#options.cacheTokens);
    this.#events = new CacheEvents(this.#options);
    this.#loadSamples = new LoadSamples(this.#options.loadLagMilliseconds);
    this.#server = new Server({
      ...listen,
      compression: false,
      routes: { payload: { maxBytes: MAX_BODY_BYTES } },
    });
    this.#server.route(this.#listRoutes());
  }

  /** Base URL. */
  get url(): string {
    return this.#server.info.uri;
  }

  /** Programs that have entries in the prefix cache, sorted. */
  get sessions(): readonly string[] {
    return this.#cache.sessions;
  }

  /** Models that are loaded, sorted. */
  get models(): readonly string[] {
    return [...this.#models].sort();
  }

  /** Returns true while a generation of a program runs. */
  isRunning(session: string): boolean {
    return this.#running.some((known) => known.request.session === session);
  }

  /** Starts the server. */
  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Stops without waiting for open requests. */
  async stop(): Promise<void> {
    this.#stopController.abort(ABORTED);
    await this.#server.stop({ timeout: 0 });
  }

  #listRoutes(): ServerRoute[] {
    return [
      {
        method: "POST",
        path: "/v1/chat/completions",
        handler: (request: Request, toolkit: ResponseToolkit) =>
          this.#generate(request, toolkit),
      },
      {
        method: "GET",
        path: "/v1/streams/{id}",
        handler: (request: Request, toolkit: ResponseToolkit) =>
          this.#resume(request, toolkit),
      },
      {
        method: "DELETE",
        path: "/v1/streams/{id}",
        handler: (request: Request) => this.#cancel(String(request.params.id)),
      },
      {
        method: "GET",
        path: "/v1/load",
        handler: () => this.#describeLoad(Date.now()),
      },
      {
        method: "GET",
        path: "/v1/cache/events",
        handler: (request: Request) => ({
          events: this.#events.list(
            Number(request.query.after ?? 0),
            Date.now(),
          ),
        }),
      },
      {
        method: "GET",
        path: "/v1/cache/sessions",
        handler: () => ({ sessions: this.sessions }),
      },
      {
        method: "DELETE",
        path: "/v1/cache/sessions/{session}",
        handler: (request: Request) =>
          this.#release(String(request.params.session)),
      },
      {
        method: "GET",
        path: "/v1/cache/sessions/{session}",
        handler: (request: Request) => ({
          prefixes: this.#cache.exportSession(String(request.params.session)),
        }),
      },
      {
        method: "PUT",
        path: "/v1/cache/sessions/{session}",
        handler: (request: Request) => this.#importSession(request),
      },
      {
        method: "GET",
        path: "/v1/state",
        handler: () => ({ models: this.models, role: this.#role }),
      },
      {
        method: "POST",
        path: "/v1/orders",
        handler: (request: Request, toolkit: ResponseToolkit) =>
          this.#executeOrder(request, toolkit),
      },
    ];
  }

  #generate(request: Request, toolkit: ResponseToolkit): ResponseObject {
    const body = request.payload as GenerationRequest;
    if (!this.#models.has(body.model)) {
      return toolkit.response({ error: "Model is not loaded" }).code(
        HTTP_NOT_FOUND,
      );
    }
    const generation = new Generation(body, this.#options.salt);
    this.#generations.set(body.id, generation);
    this.#waiting.push(generation);
    this.generations++;
    if (!this.#isStepping) void this.#runSteps();
    return this.#respondWithStream(generation, 0, toolkit);
  }

  #resume(request: Request, toolkit: ResponseToolkit): ResponseObject {
    const generation = this.#generations.get(String(request.params.id));
    if (generation === undefined) {
      return toolkit.response({}).code(HTTP_NOT_FOUND);
    }
    const offset = Number(request.query.offset ?? 0);
    return this.#respondWithStream(generation, offset, toolkit);
  }

  #cancel(id: string): object {
    const generation = this.#generations.get(id);
    if (generation !== undefined) generation.cancelled = true;
    return {};
  }

  #respondWithStream(
    generation: Generation,
    offset: number,
    toolkit: ResponseToolkit,
  ): ResponseObject {
    const { faults } = this;
    const output = streamGeneration(generation, offset, { faults });
    return toolkit.response(output).type("text/event-stream");
  }

  async #runSteps(): Promise<void> {
    this.#isStepping = true;
    let next = performance.now();
    while (!this.#stopController.signal.aborted) {
      next += this.#options.stepMilliseconds;
      await sleep(Math.max(0, next - performance.now()));
      if (this.faults.frozen) continue;
      this.#startWaiting();
      const now = Date.now();
      for (const generation of this.#running) {
        if (!generation.cancelled) generation.step(now);
      }
      this.#removeFinished(now);
      this.#loadSamples.add({
        at: now,
        running: this.#running.length,
        waiting: this.#waiting.length,
      });
      if (this.#running.length === 0 && this.#waiting.length === 0) break;
    }
    this.#isStepping = false;
  }

  #startWaiting(): void {
    this.#waiting = this.#waiting.filter((generation) => !generation.cancelled);
    this.#waiting.sort((left, right) =>
      right.request.priority - left.request.priority
    );
    while (this.#running.length < this.#options.maxBatch) {
      const generation = this.#waiting.shift();
      if (generation === undefined) return;
      const { messages, session } = generation.request;
      const found = this.#cache.lookUpAndCache(messages, session);
      generation.promptTokens = found.promptTokens;
      generation.cachedTokens = found.cachedTokens;
      const uncached = found.promptTokens - found.cachedTokens;
      generation.prefillSteps = Math.floor(uncached / PREFILL_TOKENS_PER_STEP);
      this.promptTokens += found.promptTokens;
      this.cachedTokens += found.cachedTokens;
      this.#running.push(generation);
    }
  }

  #removeFinished(now: number): void {
    for (const generation of this.#running) {
      if (!generation.finished) continue;
      const { messages, session } = generation.request;
      const answer = { role: "assistant", content: generation.answer };
      this.#cache.lookUpAndCache([...messages, answer], session);
      const tokens = generation.promptTokens + generation.completionTokens;
      this.#events.add(session, tokens, now);
    }
    this.#running = this.#running.filter((known) =>
      !known.finished && !known.cancelled
    );
    for (const [id, generation] of this.#generations) {
      if (now - generation.endedAt > FINISHED_RETENTION_MILLISECONDS) {
        this.#generations.delete(id);
      }
    }
  }

  #describeLoad(now: number): object {
    const sample = this.#loadSamples.find(now);
    return {
      models: this.models,
      step_milliseconds: this.#options.stepMilliseconds,
      running: sample?.running ?? 0,
      waiting: sample?.waiting ?? 0,
      prompt_tokens: this.promptTokens,
      cached_tokens: this.cachedTokens,
    };
  }

  #release(session: string): object {
    this.#cache.release(session);
    return {};
  }

  #importSession(request: Request): object {
    const { prefixes } = request.payload as {
      readonly prefixes: readonly ExportedPrefix[];
    };
    this.#cache.importSession(String(request.params.session), prefixes);
    return {};
  }

  #executeOrder(request: Request, toolkit: ResponseToolkit): ResponseObject {
    const order = request.payload as EngineOrderBody;
    if (
      this.#options.checksFencing &&
      order.fencing_number < this.#highestFencingNumber
    ) {
      return toolkit.response({ error: "Fencing number is old" }).code(
        HTTP_CONFLICT,
      );
    }
    this.#highestFencingNumber = Math.max(
      this.#highestFencingNumber,
      order.fencing_number,
    );
    this.orders.push({ ...order, at: Date.now() });
    if (order.action === "load") this.#models.add(order.target);
    if (order.action === "unload") this.#models.delete(order.target);
    if (order.action === "set_role") this.#role = order.target;
    return toolkit.response({ models: this.models, role: this.#role });
  }
}
