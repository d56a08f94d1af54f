/** Programs of the two users, as chains of calls that a seed determines. */

import { Random } from "../soak/random.ts";

const BYTES_PER_TOKEN = 4;
const PREFILL_TOKENS_PER_STEP = 512;

/** Names of the workloads. */
export const WORKLOADS = {
  FIRNWATCH: "firnwatch",
  FINE_FREIGHT: "fine-freight",
} as const;

/** One of {@linkcode WORKLOADS}. */
export type WorkloadName = typeof WORKLOADS[keyof typeof WORKLOADS];

/** How the programs of a workload are made. */
interface Shape {
  /** Kinds of programs; each has a long prompt that its programs share. */
  readonly kinds: number;
  readonly sharedTokens: number;
  readonly turns: readonly [least: number, most: number];
  /** One program in so many has several times the turns. */
  readonly longOneIn: number;
  readonly longFactor: number;
  readonly messageTokens: readonly [least: number, most: number];
  readonly answerTokens: readonly [least: number, most: number];
  readonly pauseMilliseconds: readonly [least: number, most: number];
  /** Percentage of calls that a sub-agent makes. */
  readonly childPercent: number;
}

const SHAPES: Readonly<Record<WorkloadName, Shape>> = {
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

/** One call of a planned program. */
export interface PlannedCall {
  readonly message: string;
  readonly messageTokens: number;
  readonly answerTokens: number;
  /** Tool pause after the call. */
  readonly pauseMilliseconds: number;
  /** True if a sub-agent makes the call. */
  readonly byChild: boolean;
}

/** One planned program. */
export interface PlannedProgram {
  readonly number: number;
  readonly outfit: "north" | "south";
  /** When it starts, in milliseconds from the start of the run. */
  readonly startsAt: number;
  /** The prompt that programs of its kind share. */
  readonly shared: string;
  readonly sharedTokens: number;
  readonly kind: number;
  readonly calls: readonly PlannedCall[];
}

/** What determines a workload. */
export interface WorkloadPlan {
  readonly name: WorkloadName;
  readonly seed: number;
  readonly seconds: number;
  /** Share of what the engines can carry, 1 for all of it. */
  readonly load: number;
  /** Calls that all engines run at once. */
  readonly slots: number;
  readonly stepMilliseconds: number;
}

/** Plans programs with open-loop arrivals at the wanted load. */
export function planWorkload(plan: WorkloadPlan): readonly PlannedProgram[] {
  const random = new Random(plan.seed);
  const shape = SHAPES[plan.name];
  const drafts: PlannedProgram[] = [];
  let busy = 0;
  const endsAt = plan.seconds * 1_000;
  const wanted = plan.load * plan.slots * endsAt;
  while (busy < wanted) {
    const draft = planProgram(drafts.length, shape, random);
    busy += estimateService(draft, plan.stepMilliseconds);
    drafts.push(draft);
  }
  return spreadArrivals(drafts, endsAt, random);
}

/** Milliseconds of the chain with nobody else there and all that can be cached cached. */
export function estimateChain(
  program: PlannedProgram,
  stepMilliseconds: number,
): number {
  const pauses = program.calls.reduce(
    (sum, call) => sum + call.pauseMilliseconds,
    0,
  );
  return pauses + estimateService(program, stepMilliseconds);
}

function estimateService(
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
  shape: Shape,
  random: Random,
): PlannedProgram {
  const kind = random.between(1, shape.kinds);
  const isLong = random.between(1, shape.longOneIn) === 1;
  const turns = random.between(...shape.turns) *
    (isLong ? shape.longFactor : 1);
  const calls = Array.from({ length: turns }, (_, turn) => {
    const messageTokens = random.between(...shape.messageTokens);
    return {
      message: composeText(`p${number}t${turn} `, messageTokens),
      messageTokens,
      answerTokens: random.between(...shape.answerTokens),
      pauseMilliseconds: random.between(...shape.pauseMilliseconds),
      byChild: turn > 0 && random.happens(shape.childPercent),
    };
  });
  return {
    number,
    outfit: number % 2 === 0 ? "north" : "south",
    startsAt: 0,
    shared: composeText(`kind ${kind} `, shape.sharedTokens),
    sharedTokens: shape.sharedTokens,
    kind,
    calls,
  };
}

/** Arrivals that are uniform and independent, as a Poisson process given its count. */
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
