/** Discrete-time model of gateways and engines for the tests of placements. */

import type { UpstreamInstance } from "@mallowlift/core";
import type { TurnDemand } from "../turn_demand.ts";
import type { TurnPlacement } from "../turn_placement.ts";

/** Work of a turn at an engine of speed 1, ms. */
const TOKEN_MILLISECONDS = 2.6;
const PROMPT_TOKEN_MILLISECONDS = 0.01;
const MEAN_TOKENS = 73;
const MIN_PROMPT_TOKENS = 400;
const MAX_PROMPT_TOKENS = 3_400;
/** Time from the start of the work on a prompt that needs no work, ms. */
const START_MILLISECONDS = 2;
/** Mean time of a turn at an idle engine of speed 1, ms. */
export const IDLE_TURN_MILLISECONDS = START_MILLISECONDS +
  PROMPT_TOKEN_MILLISECONDS * (MIN_PROMPT_TOKENS + MAX_PROMPT_TOKENS) / 2 +
  TOKEN_MILLISECONDS * MEAN_TOKENS;
/** Time after which a gateway gives up an engine that does not answer, ms. */
const GIVE_UP_MILLISECONDS = 1_500;
const DEADLINE_MILLISECONDS = 5_000;

/** What happens at an engine at a time. */
export interface EngineState {
  /** Time for a piece of work as a ratio of the usual time. */
  readonly slowness?: number;
  /** Part of its turns that it fails at once. */
  readonly failedPart?: number;
  readonly isHanging?: boolean;
}

/** A load and the engines that serve it. */
export interface ModelOptions {
  readonly seed: number;
  readonly engines: number;
  readonly slots: number;
  /** Share of each gateway in the turns. */
  readonly gatewayShares: readonly number[];
  /** Turns that start per second. */
  readonly turnsPerSecond: number;
  readonly milliseconds: number;
  /** Turns that start before this time are not counted, ms. */
  readonly countedFrom: number;
  /** Standard deviation of the logarithm of a turn's time per token. */
  readonly logDeviation?: number;
  /** Failure domain of a gateway or an engine; all in one if missing. */
  readonly findDomain?: (index: number) => string;
  readonly findState?: (engine: number, now: number) => EngineState;
  /** True if the end of a turn does not reach the placement. */
  readonly isEndLost?: (now: number) => boolean;
}

/** What the turns that were counted met. */
export interface ModelResult {
  readonly meanMilliseconds: number;
  /** Turns that were placed on each engine. */
  readonly turns: readonly number[];
  /** Times at which each engine failed a turn. */
  readonly failedAt: readonly number[];
  /** Time and engine of every placement. */
  readonly placed: readonly { readonly at: number; readonly engine: number }[];
  readonly newConnections: number;
}

interface RunningTurn {
  readonly turnId: string;
  readonly gateway: number;
  readonly placedAt: number;
  readonly tokens: number;
  promptWork: number;
  streamWork: number;
  readonly sentAt: number;
  firstAt: number;
}

/** Returns random numbers that are equal for equal seeds. */
export function createRandom(seed: number): () => number {
  let state = seed * 2_654_435_761;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Returns the instances of a model. */
export function listEngines(options: ModelOptions): UpstreamInstance[] {
  return Array.from({ length: options.engines }, (_, index) => ({
    id: `engine-${index}`,
    service: "engines",
    address: "",
    failureDomain: options.findDomain?.(index) ?? "",
    slots: options.slots,
    leaving: false,
  }));
}

/** Returns a demand with the given differences from a usual one. */
export function createDemand(changes: Partial<TurnDemand>): TurnDemand {
  return {
    turnId: "turn",
    service: "engines",
    workspace: "",
    weight: 1,
    priority: 0,
    isStarted: false,
    finishMilliseconds: Infinity,
    promptTokens: 0,
    historyTokens: 0,
    historyUpstream: "",
    gateway: "gateway-0",
    failureDomain: "",
    deadlineAt: Infinity,
    ...changes,
  };
}

/** Plays a load against a placement. */
export function playModel(
  placement: TurnPlacement,
  options: ModelOptions,
): ModelResult {
  const random = createRandom(options.seed);
  const engines = Array.from(
    { length: options.engines },
    () => [] as RunningTurn[],
  );
  const turns = engines.map(() => 0);
  const failedAt: number[] = [];
  const placed: { at: number; engine: number }[] = [];
  const pools = new Map<string, number[]>();
  let newConnections = 0;
  let [sum, count, turnCount] = [0, 0, 0];
  placement.update(listEngines(options));

  function report(
    engine: number,
    details: { turn: RunningTurn; isServed: boolean; now: number },
  ): void {
    const { turn, isServed, now } = details;
    const id = `engine-${engine}`;
    pools.get(`${turn.gateway} ${engine}`)?.push(now);
    if (options.isEndLost?.(now) === true) return;
    placement.end(turn.turnId, {
      upstream: isServed ? id : "",
      failedUpstreams: isServed ? [] : [id],
      firstMilliseconds: isServed ? turn.firstAt - turn.sentAt : -1,
      streamMilliseconds: isServed ? now - turn.firstAt : 0,
      streamTokens: isServed ? turn.tokens : 0,
    }, now);
  }

  function start(now: number): void {
    const gateway = chooseIndex(options.gatewayShares, random());
    const promptTokens = Math.round(
      MIN_PROMPT_TOKENS + (MAX_PROMPT_TOKENS - MIN_PROMPT_TOKENS) * random(),
    );
    const tokens = Math.max(1, -MEAN_TOKENS * Math.log(1 - random()));
    turnCount++;
    const turnId = `turn-${turnCount}`;
    const id = placement.place(
      createDemand({
        turnId,
        promptTokens,
        isStarted: random() < 0.8,
        gateway: `gateway-${gateway}`,
        failureDomain: options.findDomain?.(gateway) ?? "",
        deadlineAt: now + DEADLINE_MILLISECONDS,
      }),
      now,
    );
    if (id === undefined) throw new Error("No upstream was chosen");
    const engine = Number(id.slice("engine-".length));
    const pool = pools.get(`${gateway} ${engine}`) ?? [];
    pools.set(`${gateway} ${engine}`, pool);
    if (now - (pool.pop() ?? -Infinity) > 4_000) newConnections++;
    placed.push({ at: now, engine });
    if (now >= options.countedFrom) turns[engine] = (turns[engine] ?? 0) + 1;
    const turn = {
      turnId,
      gateway,
      placedAt: now,
      tokens,
      promptWork: START_MILLISECONDS +
        promptTokens * PROMPT_TOKEN_MILLISECONDS,
      streamWork: tokens * TOKEN_MILLISECONDS *
        Math.exp((options.logDeviation ?? 0) * drawNormal(random)),
      sentAt: now,
      firstAt: -1,
    };
    const state = options.findState?.(engine, now);
    if (random() < (state?.failedPart ?? 0)) {
      failedAt.push(now);
      report(engine, { turn, isServed: false, now });
    } else engines[engine]?.push(turn);
  }

  for (let now = 0; now < options.milliseconds; now++) {
    let arrivals = options.turnsPerSecond / 1_000;
    for (; random() < arrivals; arrivals--) start(now);
    for (const [engine, queue] of engines.entries()) {
      const { isHanging = false, slowness = 1 } =
        options.findState?.(engine, now) ?? {};
      // The turns beyond the slots wait in the order of their arrival.
      for (const [index, turn] of queue.entries()) {
        if (isHanging && now - turn.sentAt > GIVE_UP_MILLISECONDS) {
          failedAt.push(now);
          report(engine, { turn, isServed: false, now });
          queue.splice(index, 1);
          break;
        }
        if (isHanging || index >= options.slots) continue;
        if (turn.promptWork > 0) turn.promptWork -= 1 / slowness;
        else turn.streamWork -= 1 / slowness;
        if (turn.promptWork <= 0 && turn.firstAt < 0) turn.firstAt = now + 1;
      }
      for (const turn of queue.slice(0, options.slots)) {
        if (turn.streamWork > 0) continue;
        queue.splice(queue.indexOf(turn), 1);
        report(engine, { turn, isServed: true, now });
        if (turn.placedAt < options.countedFrom) continue;
        sum += now - turn.placedAt;
        count++;
      }
    }
  }
  return {
    meanMilliseconds: sum / count,
    turns,
    failedAt,
    placed,
    newConnections,
  };
}

/** Returns a random number of a nearly normal distribution. */
function drawNormal(random: () => number): number {
  return 2 * (random() + random() + random()) - 3;
}

/** Returns the index whose share contains a point between 0 and 1. */
function chooseIndex(shares: readonly number[], point: number): number {
  let rest = point * shares.reduce((sum, share) => sum + share, 0);
  for (const [index, share] of shares.entries()) {
    rest -= share;
    if (rest < 0) return index;
  }
  return shares.length - 1;
}
