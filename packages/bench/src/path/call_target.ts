/** Makes the same calls directly to an engine or through the system. */

import { Agent } from "node:http";
import Wreck from "@hapi/wreck";
import { SITE_MODEL } from "../site/seed_resources.ts";
import type { SiteClient } from "../site/site_client.ts";

const TIMEOUT_MILLISECONDS = 60_000;

/** One message of a conversation. */
interface Message {
  readonly role: string;
  readonly content: string;
}

/** Times of one streamed call, in milliseconds since it was sent, and its text. */
export interface CallTimes {
  readonly total: number;
  readonly chunkTimes: readonly number[];
  readonly text: string;
}

/** A sequence of calls that share a history. */
export interface Conversation {
  call(requestId: string, question: string): Promise<CallTimes>;
  end(): Promise<void>;
}

/** A system under test that conversations are opened on. */
export interface CallTarget {
  readonly name: string;
  open(id: string): Promise<Conversation>;
}

/** Makes calls through the system. */
export class SystemTarget implements CallTarget {
  readonly name = "system";
  readonly #client: SiteClient;
  readonly #tokens: number;

  constructor(client: SiteClient, tokens: number) {
    this.#client = client;
    this.#tokens = tokens;
  }

  /** Creates a program. */
  async open(id: string): Promise<Conversation> {
    const created = await this.#client.createProgram({ request_id: id });
    if (created.status !== 201) throw new Error(`Status ${created.status}`);
    const program = String(created.body.program);
    return {
      call: (requestId, question) =>
        this.#call(program, { requestId, question }),
      end: async () => {
        await this.#client.endProgram(program);
      },
    };
  }

  async #call(
    program: string,
    request: { readonly requestId: string; readonly question: string },
  ): Promise<CallTimes> {
    const startedAt = performance.now();
    const answer = await this.#client.streamModel(program, {
      request_id: request.requestId,
      model: SITE_MODEL,
      messages: [{ role: "user", content: request.question }],
      max_tokens: this.#tokens,
    });
    if (!answer.whole) {
      throw new Error(
        `Status ${answer.status}: ${JSON.stringify(answer.body)}`,
      );
    }
    const total = performance.now() - startedAt;
    return { total, chunkTimes: answer.chunkTimes, text: answer.text };
  }
}

/** Makes calls directly to engines; each conversation uses one engine. */
export class DirectTarget implements CallTarget {
  readonly name = "direct";
  readonly #urls: readonly string[];
  readonly #tokens: number;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  #next = 0;

  constructor(urls: readonly string[], tokens: number) {
    this.#urls = urls;
    this.#tokens = tokens;
  }

  /** Opens an empty conversation on the next engine. */
  open(id: string): Promise<Conversation> {
    const url = this.#urls[this.#next++ % this.#urls.length] ?? "";
    const messages: Message[] = [];
    return Promise.resolve({
      call: async (requestId, question) => {
        messages.push({ role: "user", content: question });
        const times = await this.#call(url, `${id}-${requestId}`, messages);
        messages.push({ role: "assistant", content: times.text });
        return times;
      },
      end: async () => {
        await Wreck.delete(`${url}/v1/cache/sessions/${id}`, {
          agent: this.#agent,
        });
      },
    });
  }

  async #call(
    url: string,
    id: string,
    messages: readonly Message[],
  ): Promise<CallTimes> {
    const startedAt = performance.now();
    const answer = await Wreck.request("POST", `${url}/v1/chat/completions`, {
      agent: this.#agent,
      timeout: TIMEOUT_MILLISECONDS,
      headers: { "content-type": "application/json" },
      payload: JSON.stringify({
        id,
        model: SITE_MODEL,
        messages,
        max_tokens: this.#tokens,
        priority: 10,
        session: id.slice(0, id.lastIndexOf("-")),
        continue_text: "",
      }),
    });
    const chunkTimes: number[] = [];
    let text = "";
    let rest = "";
    for await (const bytes of answer) {
      const lines = (rest + String(bytes)).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) {
        if (!line.startsWith("data: {")) continue;
        const event = JSON.parse(line.slice(6)) as { text?: string };
        if (event.text === undefined || event.text === "") continue;
        text += event.text;
        chunkTimes.push(performance.now() - startedAt);
      }
    }
    return { total: performance.now() - startedAt, chunkTimes, text };
  }
}
