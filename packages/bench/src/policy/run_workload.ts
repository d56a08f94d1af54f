/** Runs a planned workload against a site and measures the latency of its programs. */

import { sleep } from "@mallowlift/core";
import { LatencyRecorder, type LatencySummary } from "../measure/latency.ts";
import { SITE_MODEL } from "../site/seed_resources.ts";
import type { SiteClient } from "../site/site_client.ts";
import {
  estimateUnloadedLatency,
  type PlannedCall,
  type PlannedProgram,
} from "./workload.ts";

const MIN_RETRY_MILLISECONDS = 50;

/** Measurements of a workload. */
export interface WorkloadResult {
  readonly programs: number;
  readonly finished: number;
  readonly program: LatencySummary;
  /** Program latency divided by its latency without load, times 1,000. */
  readonly slowdown: LatencySummary;
  readonly firstToken: LatencySummary;
  readonly tokenGap: LatencySummary;
  readonly refusals: readonly RefusalCount[];
  /** Mean slowdown of outfit north divided by that of south; 1 is fair. */
  readonly fairness: number;
  /** Prompt tokens that were sent for the first time and could not be cached. */
  readonly firstTimeTokens: number;
}

/** Measurements of a workload and the ids of its ended programs. */
export interface WorkloadRun {
  readonly result: WorkloadResult;
  readonly ended: ReadonlySet<string>;
}

/** Number of refusals with one reason. */
export interface RefusalCount {
  readonly reason: string;
  readonly count: number;
}

/** Clients and end time of a run. */
export interface WorkloadTargets {
  findClient(outfit: PlannedProgram["outfit"]): SiteClient;
  readonly stepMilliseconds: number;
  /** End of the run, ms after its start; unfinished programs are not counted. */
  readonly endsAt: number;
}

/** Collects latencies and refusals as the callers of one run observe them. */
class RunRecorder {
  readonly program = new LatencyRecorder();
  readonly slowdown = new LatencyRecorder();
  readonly firstToken = new LatencyRecorder();
  readonly tokenGap = new LatencyRecorder();
  readonly refusals = new Map<string, number>();
  readonly slowdowns = { north: [] as number[], south: [] as number[] };
  readonly kinds = new Set<number>();
  readonly ended = new Set<string>();
  finished = 0;
  firstTimeTokens = 0;
}

/**
 * Starts each program at its planned time and waits until all programs have
 * ended or the run is over.
 */
export async function runWorkload(
  programs: readonly PlannedProgram[],
  targets: WorkloadTargets,
): Promise<WorkloadRun> {
  const recorder = new RunRecorder();
  const startedAt = performance.now();
  const isOver = () => performance.now() - startedAt > targets.endsAt;
  const running = programs.map(async (program) => {
    await sleep(program.startsAt);
    if (isOver()) return;
    await runProgram(program, { targets, recorder, isOver }).catch(() =>
      undefined
    );
  });
  await Promise.race([Promise.all(running), sleep(targets.endsAt + 2_000)]);
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  const result: WorkloadResult = {
    programs: programs.length,
    finished: recorder.finished,
    program: recorder.program.summarize(),
    slowdown: recorder.slowdown.summarize(),
    firstToken: recorder.firstToken.summarize(),
    tokenGap: recorder.tokenGap.summarize(),
    refusals: [...recorder.refusals].map(([reason, count]) => ({
      reason,
      count,
    })),
    fairness: mean(recorder.slowdowns.north) / mean(recorder.slowdowns.south),
    firstTimeTokens: recorder.firstTimeTokens,
  };
  return { result, ended: recorder.ended };
}

/** Targets, recorder and end of a run, shared by its programs. */
interface RunParts {
  readonly targets: WorkloadTargets;
  readonly recorder: RunRecorder;
  readonly isOver: () => boolean;
}

async function runProgram(
  program: PlannedProgram,
  parts: RunParts,
): Promise<void> {
  const { targets, recorder, isOver } = parts;
  const client = targets.findClient(program.outfit);
  const startedAt = performance.now();
  const created = await client.createProgram({
    request_id: `program-${program.number}`,
  });
  const id = String(created.body.program);
  if (!recorder.kinds.has(program.kind)) {
    recorder.kinds.add(program.kind);
    recorder.firstTimeTokens += program.sharedTokens;
  }
  for (const [turn, call] of program.calls.entries()) {
    const target = call.byChild ? await createChild(client, id, turn) : id;
    const shared = turn === 0 || call.byChild ? program.shared : undefined;
    await makeCall(client, { program: target, turn, call, shared, parts });
    if (call.byChild) await endChild(client, target, recorder);
    await sleep(call.pauseMilliseconds);
    if (isOver()) return;
  }
  const latency = performance.now() - startedAt;
  await client.endProgram(id);
  recorder.ended.add(id);
  const slowdown = latency /
    estimateUnloadedLatency(program, targets.stepMilliseconds);
  recorder.finished++;
  recorder.program.add(latency);
  recorder.slowdown.add(slowdown * 1_000);
  recorder.slowdowns[program.outfit].push(slowdown);
}

async function endChild(
  client: SiteClient,
  child: string,
  recorder: RunRecorder,
): Promise<void> {
  await client.endProgram(child);
  recorder.ended.add(child);
}

async function createChild(
  client: SiteClient,
  parent: string,
  turn: number,
): Promise<string> {
  const created = await client.createChild(parent, {
    request_id: `child-${turn}`,
  });
  return String(created.body.program);
}

async function makeCall(
  client: SiteClient,
  options: {
    readonly program: string;
    readonly turn: number;
    readonly call: PlannedCall;
    readonly shared: string | undefined;
    readonly parts: RunParts;
  },
): Promise<void> {
  const { program, turn, call, shared, parts } = options;
  const { recorder, isOver } = parts;
  const messages = [{ role: "user", content: call.message }];
  if (shared !== undefined) {
    messages.unshift({ role: "system", content: shared });
  }
  const startedAt = performance.now();
  while (!isOver()) {
    const sentAt = performance.now();
    const answer = await client.streamModel(program, {
      request_id: `turn-${turn}`,
      model: SITE_MODEL,
      messages,
      max_tokens: call.answerTokens,
    });
    const reason = answer.body?.error?.name as string | undefined;
    if (answer.whole) {
      recorder.firstTimeTokens += call.messageTokens;
      const retryMilliseconds = sentAt - startedAt;
      recorder.firstToken.add(retryMilliseconds + (answer.chunkTimes[0] ?? 0));
      for (const [position, time] of answer.chunkTimes.slice(1).entries()) {
        recorder.tokenGap.add(time - (answer.chunkTimes[position] ?? 0));
      }
      return;
    }
    const name = reason ?? "broken";
    recorder.refusals.set(name, (recorder.refusals.get(name) ?? 0) + 1);
    const retryAfterMilliseconds = Number(
      answer.body?.error?.retry_after_ms ?? 0,
    );
    await sleep(Math.max(MIN_RETRY_MILLISECONDS, retryAfterMilliseconds));
  }
}
