/** Generates programs of the two users as chains of calls, reproducible from a seed. */

import { Random } from "../soak/random.ts";

const BYTES_PER_TOKEN = 4;
const PREFILL_TOKENS_PER_STEP = 512;

/** Names of the workloads, one for each user. */
export const WORKLOADS = {
  FIRNWATCH: "firnwatch",
  FINE_FREIGHT: "fine-freight",
} as const;

/** One of {@linkcode WORKLOADS}. */
export type WorkloadName = typeof WORKLOADS[keyof typeof WORKLOADS];

/** Distribution of the programs of a workload. */
interface WorkloadDistribution {
  /** Number of kinds of programs; programs of one kind share a long prompt. */
  readonly kinds: number;
  readonly sharedTokens: number;
  readonly turns: readonly [least: number, most: number];
  /** One program in `longOneIn` has `longFactor` times the turns. */
  readonly longOneIn: number;
  readonly longFactor: number;
  readonly messageTokens: readonly [least: number, most: number];
  readonly answerTokens: readonly [least: number, most: number];
  readonly pauseMilliseconds: readonly [least: number, most: number];
  /** Percentage of calls that a sub-agent makes. */
  readonly childPercent: number;
}

const DISTRIBUTIONS: Readonly<Record<WorkloadName, WorkloadDistribution>> = {
  "firnwatch": {
    kinds: 4,
    sharedTokens: 400,
    turns: [2, 6],
    longOneIn: 10,
    longFactor: 4,
    messageTokens: [20, 200],
    answerTokens: [8, 40],
    pauseMilliseconds: [50, 600],
    childPercent: 15,
  },
  "fine-freight": {
    kinds: 5,
    sharedTokens: 6_000,
    turns: [3, 10],
    longOneIn: 12,
    longFactor: 3,
    messageTokens: [200, 1_000],
    answerTokens: [10, 50],
    pauseMilliseconds: [50, 400],
    childPercent: 10,
  },
};

/** A planned call of a program. */
export interface PlannedCall {
  readonly message: string;
  readonly messageTokens: number;
  readonly answerTokens: number;
  /** Pause for a tool after the call, ms. */
  readonly pauseMilliseconds: number;
  /** True if a sub-agent makes the call. */
  readonly byChild: boolean;
}

/** A planned program. */
export interface PlannedProgram {
  readonly number: number;
  readonly outfit: "north" | "south";
  /** Start time, ms after the start of the run. */
  readonly startsAt: number;
  /** The prompt that programs of this kind share. */
  readonly shared: string;
  readonly sharedTokens: number;
  readonly kind: number;
  readonly calls: readonly PlannedCall[];
}

/** Parameters of a workload. */
export interface WorkloadPlan {
  readonly name: WorkloadName;
  readonly seed: number;
  readonly seconds: number;
  /** Offered load as a share of the capacity of the engines; 1 is all of it. */
  readonly load: number;
  /** Number of calls that all engines together run concurrently. */
  readonly slots: number;
  readonly stepMilliseconds: number;
}

/** Plans programs with open-loop arrivals at the given load. */
export function planWorkload(plan: WorkloadPlan): readonly PlannedProgram[] {
  const random = new Random(plan.seed);
  const distribution = DISTRIBUTIONS[plan.name];
  const drafts: PlannedProgram[] = [];
  let plannedMilliseconds = 0;
  const endsAt = plan.seconds * 1_000;
  const targetMilliseconds = plan.load * plan.slots * endsAt;
  while (plannedMilliseconds < targetMilliseconds) {
    const draft = planProgram(drafts.length, distribution, random);
    plannedMilliseconds += estimateServiceTime(draft, plan.stepMilliseconds);
    drafts.push(draft);
  }
  return spreadArrivals(drafts, endsAt, random);
}

/** Estimates the latency of a program without other load and with a warm cache, ms. */
export function estimateUnloadedLatency(
  program: PlannedProgram,
  stepMilliseconds: number,
): number {
  const pauses = program.calls.reduce(
    (sum, call) => sum + call.pauseMilliseconds,
    0,
  );
  return pauses + estimateServiceTime(program, stepMilliseconds);
}

function estimateServiceTime(
  program: PlannedProgram,
  stepMilliseconds: number,
): number {
  let steps = 0;
  for (const call of program.calls) {
    steps += call.answerTokens + 1;
    steps += Math.floor(call.messageTokens / PREFILL_TOKENS_PER_STEP);
  }
  return steps * stepMilliseconds;
}

function planProgram(
  number: number,
  distribution: WorkloadDistribution,
  random: Random,
): PlannedProgram {
  const kind = random.between(1, distribution.kinds);
  const isLong = random.between(1, distribution.longOneIn) === 1;
  const turns = random.between(...distribution.turns) *
    (isLong ? distribution.longFactor : 1);
  const calls = Array.from({ length: turns }, (_, turn) => {
    const messageTokens = random.between(...distribution.messageTokens);
    return {
      message: composeText(`p${number}t${turn} `, messageTokens),
      messageTokens,
      answerTokens: random.between(...distribution.answerTokens),
      pauseMilliseconds: random.between(...distribution.pauseMilliseconds),
      byChild: turn > 0 && random.happens(distribution.childPercent),
    };
  });
  return {
    number,
    outfit: number % 2 === 0 ? "north" : "south",
    startsAt: 0,
    shared: composeText(`kind ${kind} `, distribution.sharedTokens),
    sharedTokens: distribution.sharedTokens,
    kind,
    calls,
  };
}

/**
 * Draws independent, uniformly distributed start times: a Poisson process with
 * a given number of arrivals.
 */
function spreadArrivals(
  drafts: readonly PlannedProgram[],
  endsAt: number,
  random: Random,
): readonly PlannedProgram[] {
  const times = drafts.map(() => random.between(0, endsAt)).sort((
    left,
    right,
  ) => left - right);
  return drafts.map((draft, position) => ({
    ...draft,
    startsAt: times[position] ?? 0,
  }));
}

function composeText(beginning: string, tokens: number): string {
  const length = Math.max(beginning.length, tokens * BYTES_PER_TOKEN);
  return beginning.padEnd(length, "moraine ");
}
