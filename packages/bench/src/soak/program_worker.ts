/** A caller that runs programs, and resends each call until its result is definite. */

import { sleep } from "@mallowlift/core";
import { composeAnswer } from "@mallowlift/mocks";
import { SITE_MODEL, SITE_SERVICE } from "../site/seed_resources.ts";
import type { SiteAnswer, SiteClient } from "../site/site_client.ts";
import type { Random } from "./random.ts";
import type { ProgramRecord, SoakRecords } from "./records.ts";

const RESEND_MILLISECONDS = 100;
const BUDGET = 4_000;

/** Codes with an unknown outcome; resending the same request id determines it. */
const INDEFINITE_CODES = ["OWNER_LOST", "STREAM_BROKEN", "INTERNAL", "TIMEOUT"];

/** Options of {@linkcode ProgramWorker}. */
export interface WorkerOptions {
  readonly number: number;
  readonly outfit: string;
  /** One client for each entry. */
  readonly clients: readonly SiteClient[];
  readonly random: Random;
  readonly records: SoakRecords;
  readonly isOver: () => boolean;
}

interface WorkerCall {
  readonly requestId: string;
  readonly kind: "model" | "write" | "read";
  send(client: SiteClient): Promise<SiteAnswer>;
}

/** Runs programs of one outfit. */
export class ProgramWorker {
  readonly #options: WorkerOptions;
  #callCount = 0;

  constructor(options: WorkerOptions) {
    this.#options = options;
  }

  /** Runs programs one after the other until the soak is over. */
  async run(): Promise<void> {
    const { isOver, number } = this.#options;
    for (let round = 0; !isOver(); round++) {
      const record = await this.#create(`w${number}r${round}`, undefined);
      if (record === undefined) continue;
      await this.#runProgram(record);
    }
  }

  async #create(
    id: string,
    parent: string | undefined,
  ): Promise<ProgramRecord | undefined> {
    const { records, outfit } = this.#options;
    const body = { request_id: id, token_budget: BUDGET, lease_ms: 60_000 };
    const answer = await this.#sendUntilAnswered((client) =>
      parent === undefined
        ? client.createProgram(body)
        : client.createChild(parent, body)
    );
    if (answer.status !== 201) {
      records.count(`create refused ${answer.body?.error?.name}`);
      return undefined;
    }
    const record: ProgramRecord = {
      outfit,
      program: String(answer.body.program),
      budget: BUDGET,
      conversation: [],
      calls: [],
      ended: false,
    };
    records.programs.push(record);
    return record;
  }

  async #runProgram(record: ProgramRecord): Promise<void> {
    const { random, isOver } = this.#options;
    const length = random.between(3, 12);
    for (let call = 0; call < length && !isOver(); call++) {
      const kind = random.between(1, 10);
      if (kind <= 6) await this.#callModel(record);
      else if (kind <= 8) await this.#callService(record, "write-reading");
      else if (kind === 9) await this.#callService(record, "read-stake");
      else await this.#runChild(record);
      await sleep(random.between(0, 120));
    }
    const ended = await this.#sendUntilAnswered((client) =>
      client.endProgram(record.program)
    );
    record.ended = ended.status === 200;
  }

  async #runChild(parent: ProgramRecord): Promise<void> {
    const child = await this.#create(`c${this.#callCount++}`, parent.program);
    if (child === undefined) return;
    await this.#callModel(child);
    const ended = await this.#sendUntilAnswered((client) =>
      client.endProgram(child.program)
    );
    child.ended = ended.status === 200;
  }

  async #callModel(record: ProgramRecord): Promise<void> {
    const { random, outfit, records } = this.#options;
    const requestId = `m${this.#callCount++}`;
    const question = `${outfit} ${
      record.program.slice(0, 6)
    } asks ${requestId}`;
    const tokens = random.between(1, 24);
    const stream = random.happens(50);
    const messages = [{ role: "user", content: question }];
    const body = {
      request_id: requestId,
      model: SITE_MODEL,
      messages,
      max_tokens: tokens,
    };
    const prompt = [...record.conversation, ...messages];
    const expected = composeAnswer(prompt, tokens);
    const answer = await this.#callUntilDefinite(record, {
      requestId,
      kind: "model",
      send: async (client) => {
        if (!stream) return await client.callModel(record.program, body);
        const streamed = await client.streamModel(record.program, body);
        const receivedText = streamed.text;
        if (!expected.startsWith(receivedText)) {
          records.fail(
            "whole answer",
            `${requestId} received unexpected text`,
          );
        }
        const isAnswered = streamed.status === 200 &&
          streamed.body?.choices !== undefined;
        if (isAnswered && (!streamed.whole || receivedText !== expected)) {
          records.fail(
            "whole answer",
            `${requestId} received ${receivedText.length} characters`,
          );
        }
        return streamed;
      },
    });
    if (answer === undefined) return;
    const text = String(answer.body.choices[0].message.content);
    if (text !== expected) {
      records.fail(
        "whole answer",
        `${record.program} ${requestId}: ${text} is not ${expected}`,
      );
    }
    record.conversation.push(...messages, { role: "assistant", content: text });
  }

  async #callService(record: ProgramRecord, operation: string): Promise<void> {
    const requestId = `s${this.#callCount++}`;
    const kind = operation === "read-stake" ? "read" : "write";
    const payload = { program: record.program, request: requestId };
    const body = { request_id: requestId, operation, payload };
    await this.#callUntilDefinite(record, {
      requestId,
      kind,
      send: (client) => client.callService(record.program, SITE_SERVICE, body),
    });
  }

  /** Sends a call until its result is definite; returns the answer of a success. */
  async #callUntilDefinite(
    record: ProgramRecord,
    call: WorkerCall,
  ): Promise<SiteAnswer | undefined> {
    const { records, random } = this.#options;
    for (;;) {
      const answer = await this.#sendUntilAnswered((client) =>
        call.send(client)
      );
      const error = answer.body?.error;
      if (answer.status === 200 && error === undefined) {
        const { turn, digest } = answer.body;
        record.calls.push({
          ...describeCall(call),
          code: "OK",
          notRun: false,
          turn,
          digest,
        });
        records.count(`${call.kind} answered`);
        return answer;
      }
      const code = String(error?.name);
      records.count(`${call.kind} refused ${code}`);
      const isIndefinite = INDEFINITE_CODES.includes(code) ||
        error?.by === "entry";
      const retriesRefusal = error?.not_run === true && random.happens(50);
      if (isIndefinite || retriesRefusal) {
        await sleep(
          Math.min(error?.retry_after_ms ?? 0, 500) + RESEND_MILLISECONDS,
        );
        continue;
      }
      const notRun = error?.not_run === true;
      record.calls.push({
        ...describeCall(call),
        code,
        notRun,
        turn: 0,
        digest: "",
      });
      return undefined;
    }
  }

  /**
   * Sends to random entries until one returns a complete answer that is not its own
   * refusal, or any client error.
   */
  async #sendUntilAnswered(
    send: (client: SiteClient) => Promise<SiteAnswer>,
  ): Promise<SiteAnswer> {
    const { clients, random, records } = this.#options;
    for (;;) {
      try {
        const answer = await send(random.choose(clients));
        const isCutOff = answer.status === 200 && answer.body === undefined;
        if (!isCutOff && answer.body?.error?.by !== "entry") return answer;
        if (isClientError(answer)) return answer;
        records.count(`entry refused ${answer.body?.error?.name ?? "cut"}`);
      } catch {
        records.count("connection lost");
      }
      await sleep(RESEND_MILLISECONDS);
    }
  }
}

function describeCall(
  call: WorkerCall,
): Pick<WorkerCall, "requestId" | "kind"> {
  return { requestId: call.requestId, kind: call.kind };
}

/** Returns true for a client error, which every entry would return again. */
function isClientError(answer: SiteAnswer): boolean {
  return answer.status >= 400 && answer.status < 500;
}
