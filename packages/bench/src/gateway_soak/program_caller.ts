/**
 * A caller that runs programs: they continue turns, branch off earlier turns,
 * call tools, and sometimes disconnect during a turn.
 */

import { sleep } from "@mallowlift/core";
import { describeEvent, describeOutput } from "@mallowlift/mocks";
import { callGateway, type CallResult } from "../gateways/gateway_caller.ts";
import type { GatewaySite } from "../gateways/gateway_site.ts";
import type { Random } from "../soak/random.ts";
import { type CallerRecords, PROMISES } from "./caller_records.ts";
import { HOME_WORKSPACE } from "./soak_workspaces.ts";

/** Number of events in each turn; the upstreams send the same number. */
export const EVENTS_PER_TURN = 3;
/** Tokens per event, as set in the routing document. */
const TOKENS_PER_EVENT = 2;
const MAX_TOKENS_PER_TURN = EVENTS_PER_TURN * TOKENS_PER_EVENT;
/** Number of turns that a program's token budget allows. */
const BUDGET_TURNS = 8;
const OK = 200;
const NOT_FOUND = 404;
const PAYMENT_REQUIRED = 402;
/** Time after which some callers disconnect, ms; it falls within a turn. */
const DISCONNECT_AFTER_MILLISECONDS = 4;
const MAX_PAUSE_MILLISECONDS = 40;

/** Options of {@linkcode ProgramCaller}. */
export interface ProgramCallerOptions {
  /** Prefix of the ids of all programs and calls. */
  readonly name: string;
  readonly site: GatewaySite;
  readonly random: Random;
  readonly records: CallerRecords;
  readonly isOver: () => boolean;
}

interface AnsweredTurn {
  readonly id: string;
  /** Prompt and output, which the next turn continues. */
  readonly history: string;
}

/** Runs programs one after the other. */
export class ProgramCaller {
  readonly #options: ProgramCallerOptions;
  #programCount = 0;
  #callCount = 0;

  constructor(options: ProgramCallerOptions) {
    this.#options = options;
  }

  /** Runs until the soak is over. */
  async run(): Promise<void> {
    while (!this.#options.isOver()) await this.#runProgram();
  }

  /** Requests the first turn of a new program; true if the answer was complete. */
  async requestFirstTurn(): Promise<boolean> {
    const program = `${this.#options.name}-${++this.#programCount}`;
    const { turn } = await this.#requestTurn(program, undefined);
    return turn !== undefined;
  }

  async #runProgram(): Promise<void> {
    const { random, isOver, name } = this.#options;
    const program = `${name}-${++this.#programCount}`;
    const turns: AnsweredTurn[] = [];
    let receivedTokens = 0;
    const length = random.between(2, BUDGET_TURNS + 2);
    for (let step = 0; step < length && !isOver(); step++) {
      if (random.happens(30)) await this.#callTool();
      const previous = random.happens(80) ? turns.at(-1) : turns[0];
      const { seen, turn, events } = await this.#requestTurn(program, previous);
      receivedTokens += events * TOKENS_PER_EVENT;
      if (turn !== undefined) turns.push(turn);
      if (seen.status === PAYMENT_REQUIRED) break;
      await sleep(random.between(0, MAX_PAUSE_MILLISECONDS));
    }
    if (
      receivedTokens > BUDGET_TURNS * MAX_TOKENS_PER_TURN + MAX_TOKENS_PER_TURN
    ) {
      const { records } = this.#options;
      records.fail(PROMISES.BUDGET, `${program} got ${receivedTokens} tokens`);
    }
  }

  async #requestTurn(
    program: string,
    previous: AnsweredTurn | undefined,
  ): Promise<{
    readonly seen: CallResult;
    readonly turn: AnsweredTurn | undefined;
    readonly events: number;
  }> {
    const { records, random } = this.#options;
    const callId = this.#createCallId();
    const input = `input-${callId};`;
    const prompt = `${previous?.history ?? ""}${input}`;
    const seen = await this.#send({
      callId,
      path: "/stream/x",
      body: input,
      prompt,
      mayRepeat: false,
      disconnectsEarly: random.happens(5),
      headers: {
        "x-program": program,
        "x-most-tokens": String(MAX_TOKENS_PER_TURN),
        "x-token-budget": String(BUDGET_TURNS * MAX_TOKENS_PER_TURN),
        ...(previous === undefined ? {} : { "x-previous-turn": previous.id }),
      },
    });
    const events = seen.status === OK ? countEvents(seen.body) : 0;
    if (seen.status === NOT_FOUND) {
      records.fail(PROMISES.TURN_KEPT, `${callId} after ${previous?.id}: 404`);
    }
    const isWhole = seen.status === OK && seen.whole;
    if (!isWhole) return { seen, turn: undefined, events };
    if (seen.body !== describeStream(prompt)) {
      records.fail(PROMISES.CORRECT_ANSWER, `${callId} got ${seen.body}`);
    }
    const history = `${prompt}${describeOutput(prompt, EVENTS_PER_TURN)}`;
    return { seen, turn: { id: callId, history }, events };
  }

  async #callTool(): Promise<void> {
    const { records, random } = this.#options;
    const callId = this.#createCallId();
    const mayRepeat = random.happens(50);
    const seen = await this.#send({
      callId,
      path: mayRepeat ? "/read/x" : "/write/x",
      body: `tool-${callId}`,
      prompt: `tool-${callId}`,
      mayRepeat,
      disconnectsEarly: false,
      headers: {},
    });
    const isWhole = seen.status === OK && seen.whole;
    if (isWhole && seen.body !== `ran ${callId}`) {
      records.fail(PROMISES.CORRECT_ANSWER, `${callId} got ${seen.body}`);
    }
  }

  async #send(call: {
    readonly callId: string;
    readonly path: string;
    readonly body: string;
    readonly prompt: string;
    readonly mayRepeat: boolean;
    readonly disconnectsEarly: boolean;
    readonly headers: Readonly<Record<string, string>>;
  }): Promise<CallResult> {
    const { records, random, site } = this.#options;
    const { callId, mayRepeat, prompt } = call;
    const { workspace, key } = HOME_WORKSPACE;
    const sent = { callId, mayRepeat, prompt, workspace, seen: undefined };
    records.add(sent);
    const gateway = random.choose(site.gateways);
    const seen = await callGateway(gateway.callersUrl, {
      callId,
      path: call.path,
      body: call.body,
      headers: {
        "x-patience-ms": "4000",
        authorization: `Bearer ${key}`,
        ...call.headers,
      },
      signal: call.disconnectsEarly
        ? AbortSignal.timeout(DISCONNECT_AFTER_MILLISECONDS)
        : AbortSignal.timeout(20_000),
    });
    Object.assign(sent, { seen });
    records.count(`status ${seen.status}${seen.whole ? "" : " not whole"}`);
    return seen;
  }

  #createCallId(): string {
    return `${this.#options.name}-c${++this.#callCount}`;
  }
}

function countEvents(body: string): number {
  return body.split("data: ").length - 1;
}

/** Returns the complete stream that an upstream sends for a prompt. */
function describeStream(prompt: string): string {
  let stream = "";
  for (let event = 1; event <= EVENTS_PER_TURN; event++) {
    stream += `id: ${event}\ndata: ${describeEvent(prompt, event)}\n\n`;
  }
  return stream;
}
