/** HTTP client for the API of an entry, for callers and operators. */

import { Agent } from "node:http";
import type { Buffer } from "node:buffer";
import Wreck from "@hapi/wreck";
import { OPERATOR_TOKEN } from "./site_plan.ts";

const TIMEOUT_MILLISECONDS = 60_000;

/** HTTP status and decoded body of an answer. */
export interface SiteAnswer {
  readonly status: number;
  // deno-lint-ignore no-explicit-any -- tests and examples read many shapes
  readonly body: any;
}

/** A streamed answer with the arrival times of its chunks. */
export interface StreamedAnswer extends SiteAnswer {
  /** The concatenated text of all chunks. */
  readonly text: string;
  /** Arrival time of each chunk, in milliseconds since the call. */
  readonly chunkTimes: readonly number[];
  /** True if the end marker `[DONE]` arrived. */
  readonly whole: boolean;
}

/** One HTTP request. */
export interface SiteRequest {
  readonly method: string;
  readonly path: string;
  readonly body?: object;
  readonly token?: string;
  readonly timeoutMilliseconds?: number;
}

/** A client of one entry. */
export class SiteClient {
  readonly #url: string;
  readonly #token: string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });

  constructor(url: string, token: string) {
    this.#url = url;
    this.#token = token;
  }

  /** Closes all connections, also those in use. */
  close(): void {
    this.#agent.destroy();
  }

  /** Sends a request and reads the complete answer; throws if the connection fails. */
  async send(request: SiteRequest): Promise<SiteAnswer> {
    const answer = await this.#open(request);
    const text = String(
      await Wreck.read(answer, { timeout: TIMEOUT_MILLISECONDS }),
    );
    return {
      status: answer.statusCode ?? 0,
      body: text === "" ? undefined : JSON.parse(text),
    };
  }

  /** Creates a root program. */
  async createProgram(body: object): Promise<SiteAnswer> {
    return await this.send({ method: "POST", path: "/v1/programs", body });
  }

  /** Creates a child program. */
  async createChild(program: string, body: object): Promise<SiteAnswer> {
    return await this.send({
      method: "POST",
      path: `/v1/programs/${program}/children`,
      body,
    });
  }

  /** Calls a model and waits for the complete answer. */
  async callModel(program: string, body: object): Promise<SiteAnswer> {
    const path = `/v1/programs/${program}/chat/completions`;
    return await this.send({ method: "POST", path, body });
  }

  /** Calls a model and reads the streamed answer. */
  async streamModel(program: string, body: object): Promise<StreamedAnswer> {
    const startedAt = performance.now();
    const answer = await this.#open({
      method: "POST",
      path: `/v1/programs/${program}/chat/completions`,
      body: { ...body, stream: true },
    });
    const status = answer.statusCode ?? 0;
    const reader = new StreamReader(startedAt);
    for await (const bytes of answer) {
      reader.push(bytes as Buffer, performance.now());
    }
    return reader.finish(status);
  }

  /** Calls a service. */
  async callService(
    program: string,
    service: string,
    body: object,
  ): Promise<SiteAnswer> {
    const path = `/v1/programs/${program}/services/${service}`;
    return await this.send({ method: "POST", path, body });
  }

  /** Reads the history of a program. */
  async readHistory(program: string): Promise<SiteAnswer> {
    return await this.send({
      method: "GET",
      path: `/v1/programs/${program}/history`,
    });
  }

  /** Ends a program. */
  async endProgram(program: string): Promise<SiteAnswer> {
    return await this.send({
      method: "DELETE",
      path: `/v1/programs/${program}`,
    });
  }

  /** Creates a resource or replaces it whatever its current version, as an operator. */
  async applyResource(
    kind: string,
    name: string,
    spec: object,
  ): Promise<SiteAnswer> {
    const path = `/v1/resources/${kind}/${name}`;
    const token = OPERATOR_TOKEN;
    const known = await this.send({ method: "GET", path, token });
    const version = known.status === 200 ? known.body.version as number : 0;
    const orderId = `apply-${Date.now()}-${
      Math.random().toString(36).slice(2)
    }`;
    const body = { order_id: orderId, version, spec };
    return await this.send({ method: "PUT", path, token, body });
  }

  async #open(request: SiteRequest) {
    return await Wreck.request(request.method, `${this.#url}${request.path}`, {
      agent: this.#agent,
      timeout: request.timeoutMilliseconds ?? TIMEOUT_MILLISECONDS,
      headers: {
        authorization: `Bearer ${request.token ?? this.#token}`,
        ...request.body === undefined
          ? {}
          : { "content-type": "application/json" },
      },
      payload: request.body === undefined
        ? undefined
        : JSON.stringify(request.body),
    });
  }
}

class StreamReader {
  readonly #startedAt: number;
  readonly #chunkTimes: number[] = [];
  #incompleteLine = "";
  #text = "";
  #body: unknown;
  #whole = false;

  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  push(bytes: Buffer, now: number): void {
    const lines = (this.#incompleteLine + String(bytes)).split("\n");
    this.#incompleteLine = lines.pop() ?? "";
    for (const line of lines) this.#readLine(line, now);
  }

  finish(status: number): StreamedAnswer {
    if (status !== 200) {
      this.#body = JSON.parse(
        this.#incompleteLine === "" ? "{}" : this.#incompleteLine,
      );
    }
    return {
      status,
      body: this.#body,
      text: this.#text,
      chunkTimes: this.#chunkTimes,
      whole: this.#whole,
    };
  }

  #readLine(line: string, now: number): void {
    if (!line.startsWith("data:")) return;
    const data = line.slice(5).trim();
    if (data === "[DONE]") {
      this.#whole = true;
      return;
    }
    const event = JSON.parse(data) as {
      object?: string;
      choices?: readonly { delta?: { content?: string } }[];
    };
    if (event.object !== "chat.completion.chunk") {
      this.#body = event;
      return;
    }
    this.#text += event.choices?.[0]?.delta?.content ?? "";
    this.#chunkTimes.push(now - this.#startedAt);
  }
}
