/** Runs many conversations concurrently and measures their calls. */

import { sleep } from "@mallowlift/core";
import { LatencyRecorder, type LatencySummary } from "../measure/latency.ts";
import type { CallTarget, CallTimes } from "./call_target.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Size and duration of a load. */
export interface LoadPlan {
  readonly programs: number;
  readonly seconds: number;
  /** Number of calls of one program. */
  readonly turns: number;
  /**
   * Mean pause for tools between two calls, ms. Each pause is uniformly
   * distributed between 0.5 and 1.5 times the mean.
   */
  readonly pauseMilliseconds: number;
}

/** Measurements of a load. */
export interface LoadResult {
  readonly target: string;
  readonly programs: number;
  readonly callsPerSecond: number;
  readonly failures: number;
  readonly total: LatencySummary;
  readonly firstToken: LatencySummary;
  readonly tokenGap: LatencySummary;
}

/** Runs the load for its duration. */
export async function runLoad(
  target: CallTarget,
  plan: LoadPlan,
): Promise<LoadResult> {
  const recorders = {
    total: new LatencyRecorder(),
    firstToken: new LatencyRecorder(),
    tokenGap: new LatencyRecorder(),
  };
  let failures = 0;
  const startedAt = performance.now();
  const endsAt = startedAt + plan.seconds * MILLISECONDS_PER_SECOND;
  const runId = Math.random().toString(36).slice(2);
  const recordTimes = (times: CallTimes) => {
    recorders.total.add(times.total);
    recorders.firstToken.add(times.chunkTimes[0] ?? times.total);
    let previous = times.chunkTimes[0] ?? 0;
    for (const time of times.chunkTimes.slice(1)) {
      recorders.tokenGap.add(time - previous);
      previous = time;
    }
  };
  const runConversations = async (number: number) => {
    await sleep((number / plan.programs) * plan.pauseMilliseconds);
    for (let round = 0; performance.now() < endsAt; round++) {
      const id = `load${runId}${number}r${round}`;
      try {
        await runConversation(target, { id, plan, endsAt, recordTimes });
      } catch {
        failures++;
      }
    }
  };
  const numbers = Array.from({ length: plan.programs }, (_, number) => number);
  await Promise.all(numbers.map(runConversations));
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  const total = recorders.total.summarize();
  return {
    target: target.name,
    programs: plan.programs,
    callsPerSecond: Math.round((total.count / seconds) * 10) / 10,
    failures,
    total,
    firstToken: recorders.firstToken.summarize(),
    tokenGap: recorders.tokenGap.summarize(),
  };
}

async function runConversation(
  target: CallTarget,
  options: {
    readonly id: string;
    readonly plan: LoadPlan;
    readonly endsAt: number;
    readonly recordTimes: (times: CallTimes) => void;
  },
): Promise<void> {
  const { id, plan, endsAt, recordTimes } = options;
  const conversation = await target.open(id);
  for (let turn = 0; turn < plan.turns && performance.now() < endsAt; turn++) {
    recordTimes(
      await conversation.call(`turn${turn}`, `Reading ${turn} of ${id}`),
    );
    await sleep(plan.pauseMilliseconds * (0.5 + Math.random()));
  }
  await conversation.end();
}
