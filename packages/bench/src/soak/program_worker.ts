/** A caller that runs program after program, and resends until it has a definite answer. */

import { sleep } from "@mallowlift/core";
import { composeAnswer } from "@mallowlift/mocks";
import { SITE_MODEL, SITE_SERVICE } from "../site/seed_resources.ts";
import type { SiteAnswer, SiteClient } from "../site/site_client.ts";
import type { Random } from "./random.ts";
import type { ProgramNote, SoakRecords } from "./records.ts";

const RESEND_MILLISECONDS = 100;
const BUDGET = 4_000;

/** Codes after which only the same request id again gives a definite answer. */
const INDEFINITE = ["OWNER_LOST", "STREAM_BROKEN", "INTERNAL", "TIMEOUT"];

/** What a worker works with. */
export interface WorkerOptions {
  readonly number: number;
  readonly outfit: string;
  /** One client for each entry. */
  readonly clients: readonly SiteClient[];
  readonly random: Random;
  readonly records: SoakRecords;
  readonly isOver: () => boolean;
}

interface Ask {
  readonly requestId: string;
  readonly kind: "model" | "write" | "read";
  send(client: SiteClient): Promise<SiteAnswer>;
}

/** Runs programs until the soak is over. */
export class ProgramWorker {
  readonly #options: WorkerOptions;
  #calls = 0;

  constructor(options: WorkerOptions) {
    this.#options = options;
  }

  /** Runs programs one after the other. */
  async run(): Promise<void> {
    const { isOver, number } = this.#options;
    for (let round = 0; !isOver(); round++) {
      const note = await this.#create(`w${number}r${round}`, undefined);
      if (note === undefined) continue;
      await this.#runProgram(note);
    }
  }

  async #create(
    id: string,
    parent: string | undefined,
  ): Promise<ProgramNote | undefined> {
    const { records, outfit } = this.#options;
    const body = { request_id: id, token_budget: BUDGET, lease_ms: 60_000 };
    const answer = await this.#persist((client) =>
      parent === undefined
        ? client.createProgram(body)
        : client.createChild(parent, body)
    );
    if (answer.status !== 201) {
      records.count(`create refused ${answer.body?.error?.name}`);
      return undefined;
    }
    const note: ProgramNote = {
      outfit,
      program: String(answer.body.program),
      budget: BUDGET,
      conversation: [],
      calls: [],
      ended: false,
    };
    records.programs.push(note);
    return note;
  }

  async #runProgram(note: ProgramNote): Promise<void> {
    const { random, isOver } = this.#options;
    const length = random.between(3, 12);
    for (let call = 0; call < length && !isOver(); call++) {
      const kind = random.between(1, 10);
      if (kind <= 6) await this.#callModel(note);
      else if (kind <= 8) await this.#callService(note, "write-reading");
      else if (kind === 9) await this.#callService(note, "read-stake");
      else await this.#runChild(note);
      await sleep(random.between(0, 120));
    }
    const ended = await this.#persist((client) =>
      client.endProgram(note.program)
    );
    note.ended = ended.status === 200;
  }

  async #runChild(parent: ProgramNote): Promise<void> {
    const child = await this.#create(`c${this.#calls++}`, parent.program);
    if (child === undefined) return;
    await this.#callModel(child);
    const ended = await this.#persist((client) =>
      client.endProgram(child.program)
    );
    child.ended = ended.status === 200;
  }

  async #callModel(note: ProgramNote): Promise<void> {
    const { random, outfit, records } = this.#options;
    const requestId = `m${this.#calls++}`;
    const question = `${outfit} ${note.program.slice(0, 6)} asks ${requestId}`;
    const tokens = random.between(1, 24);
    const stream = random.happens(50);
    const messages = [{ role: "user", content: question }];
    const body = {
      request_id: requestId,
      model: SITE_MODEL,
      messages,
      max_tokens: tokens,
    };
    const prompt = [...note.conversation, ...messages];
    const expected = composeAnswer(prompt, tokens);
    const answer = await this.#ask(note, {
      requestId,
      kind: "model",
      send: async (client) => {
        if (!stream) return await client.callModel(note.program, body);
        const streamed = await client.streamModel(note.program, body);
        const told = streamed.text;
        if (!expected.startsWith(told)) {
          records.violate("whole answer", `${requestId} was told foreign text`);
        }
        const isAnswered = streamed.status === 200 &&
          streamed.body?.choices !== undefined;
        if (isAnswered && (!streamed.whole || told !== expected)) {
          records.violate(
            "whole answer",
            `${requestId} was told ${told.length} characters`,
          );
        }
        return streamed;
      },
    });
    if (answer === undefined) return;
    const text = String(answer.body.choices[0].message.content);
    if (text !== expected) {
      records.violate(
        "whole answer",
        `${note.program} ${requestId}: ${text} is not ${expected}`,
      );
    }
    note.conversation.push(...messages, { role: "assistant", content: text });
  }

  async #callService(note: ProgramNote, operation: string): Promise<void> {
    const requestId = `s${this.#calls++}`;
    const kind = operation === "read-stake" ? "read" : "write";
    const payload = { program: note.program, request: requestId };
    const body = { request_id: requestId, operation, payload };
    await this.#ask(note, {
      requestId,
      kind,
      send: (client) => client.callService(note.program, SITE_SERVICE, body),
    });
  }

  /** Asks until the answer is definite; returns it if the call was answered. */
  async #ask(note: ProgramNote, ask: Ask): Promise<SiteAnswer | undefined> {
    const { records, random } = this.#options;
    for (;;) {
      const answer = await this.#persist((client) => ask.send(client));
      const error = answer.body?.error;
      if (answer.status === 200 && error === undefined) {
        const { turn, digest } = answer.body;
        note.calls.push({
          ...describe(ask),
          code: "OK",
          notRun: false,
          turn,
          digest,
        });
        records.count(`${ask.kind} answered`);
        return answer;
      }
      const code = String(error?.name);
      records.count(`${ask.kind} refused ${code}`);
      const isIndefinite = INDEFINITE.includes(code) || error?.by === "entry";
      const comesBack = error?.not_run === true && random.happens(50);
      if (isIndefinite || comesBack) {
        await sleep(
          Math.min(error?.retry_after_ms ?? 0, 500) + RESEND_MILLISECONDS,
        );
        continue;
      }
      const notRun = error?.not_run === true;
      note.calls.push({ ...describe(ask), code, notRun, turn: 0, digest: "" });
      return undefined;
    }
  }

  /** Sends to one entry or the other until a connection holds. */
  async #persist(
    send: (client: SiteClient) => Promise<SiteAnswer>,
  ): Promise<SiteAnswer> {
    const { clients, random, records } = this.#options;
    for (;;) {
      try {
        const answer = await send(random.choose(clients));
        const isCut = answer.status === 200 && answer.body === undefined;
        if (!isCut && answer.body?.error?.by !== "entry") return answer;
        if (isDefiniteAtEntry(answer)) return answer;
        records.count(`entry refused ${answer.body?.error?.name ?? "cut"}`);
      } catch {
        records.count("connection lost");
      }
      await sleep(RESEND_MILLISECONDS);
    }
  }
}

function describe(ask: Ask): Pick<Ask, "requestId" | "kind"> {
  return { requestId: ask.requestId, kind: ask.kind };
}

/** Mistakes of the caller are the same at every entry and every time. */
function isDefiniteAtEntry(answer: SiteAnswer): boolean {
  return answer.status >= 400 && answer.status < 500;
}
