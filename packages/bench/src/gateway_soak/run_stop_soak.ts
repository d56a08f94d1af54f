/**
 * Stops the gateways of a running site as planned, again and again, under callers
 * that keep using their connections, and checks from outside that each request
 * that ran is answered.
 */

import { mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { type RoutingDocument, sleep } from "@mallowlift/core";
import { OpaqueUpstream } from "@mallowlift/mocks";
import { GatewaySite } from "../gateways/gateway_site.ts";
import { Random } from "../soak/random.ts";
import { CallerRecords, NOT_RUN_STATUSES, PROMISES } from "./caller_records.ts";
import {
  ConnectionCaller,
  type ConnectionRequest,
} from "./connection_caller.ts";
import { DocumentOperators } from "./document_operator.ts";
import { sleepUnlessOver } from "./gateway_faults.ts";
import {
  DEPLOYED_NODE_OPTIONS,
  findMemoryBound,
  GatewayLives,
} from "./gateway_lives.ts";
import {
  killInSeries,
  type StopContext,
  stopInSeries,
  watchGateways,
} from "./planned_stops.ts";
import type { GatewaySoakResult } from "./run_gateway_soak.ts";
import type { SoakSize } from "./soak_site.ts";
import { INITIAL_DOCUMENT, WORKSPACE_SETTINGS } from "./soak_workspaces.ts";

/** Default size of the site, with gateways enough that some always serve. */
export const STOP_SOAK_SIZE: SoakSize = {
  gateways: 3,
  stores: 3,
  upstreams: 3,
};
const STOP_SERIES = 2;
/** Largest body that the document allows, bytes. */
const MAX_BODY_BYTES = 4_194_304;
/** Bytes of each body that an upstream records: enough for its request's id. */
const RECORDED_BYTES = 64;
/** Time in which a stop ends, ms; less than some requests need. */
const STOP_MILLISECONDS = 4_000;
const DRAIN_MILLISECONDS = 1_000;
/** Wait for requests that were refused and run later, ms. */
const LATE_RUN_MILLISECONDS = 1_000;
const STREAM_EVENTS = 3;
const OK = 200;
/** Random streams per seed, so that two seeds never share a stream. */
const STREAMS_PER_SEED = 1_000;

/** Seed, duration and load of a soak of planned stops. */
export interface StopSoakPlan {
  readonly seed: number;
  /** Time for which gateways are stopped, s. */
  readonly seconds: number;
  /** Callers that send small requests, several ahead. */
  readonly callers: number;
  /** Callers that send large bodies. */
  readonly uploaders: number;
  readonly size: SoakSize;
  /** Folder of the site's data; it is deleted first. */
  readonly folder: string;
}

/** Runs a soak of planned stops. */
export async function runStopSoak(
  plan: StopSoakPlan,
): Promise<GatewaySoakResult> {
  rmSync(plan.folder, { recursive: true, force: true });
  mkdirSync(plan.folder, { recursive: true });
  const upstreams = Array.from(
    { length: plan.size.upstreams },
    (_, number) => new OpaqueUpstream(`u-${number + 1}`),
  );
  for (const upstream of upstreams) {
    upstream.recordedBytes = RECORDED_BYTES;
    await upstream.start();
  }
  const siteFolder = join(plan.folder, "site");
  const site = await GatewaySite.start({
    folder: siteFolder,
    ...plan.size,
    upstreams,
    nodeOptions: DEPLOYED_NODE_OPTIONS,
    stopMilliseconds: STOP_MILLISECONDS,
    gatewaySettings: {
      ...WORKSPACE_SETTINGS,
      drain_milliseconds: DRAIN_MILLISECONDS,
    },
  }, allowLargeBodies(INITIAL_DOCUMENT));
  const records = new CallerRecords();
  const lives = new GatewayLives(site);
  let requests: readonly ConnectionRequest[] = [];
  try {
    requests = await runLoad(plan, { site, lives, records });
    await sleep(LATE_RUN_MILLISECONDS);
  } finally {
    await site.stop();
    for (const upstream of upstreams) upstream.stop();
  }
  checkRequests(requests, upstreams, records);
  const [gateway] = site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  const bound = findMemoryBound(join(siteFolder, `${gateway.name}.ini`));
  checkMemory(lives, records, bound);
  const { counts, broken } = records;
  return { calls: requests.length, counts, broken };
}

function allowLargeBodies(document: RoutingDocument): RoutingDocument {
  const limits = { ...document.limits, maxBodyBytes: MAX_BODY_BYTES };
  return { ...document, limits };
}

/** Runs callers, operators and stops; returns all requests. */
async function runLoad(
  plan: StopSoakPlan,
  parts: Pick<StopContext, "site" | "lives" | "records">,
): Promise<readonly ConnectionRequest[]> {
  const endsAt = Date.now() + plan.seconds * 1_000;
  const isOver = () => Date.now() >= endsAt;
  let stream = plan.seed * STREAMS_PER_SEED;
  const createRandom = () => new Random(stream++);
  const requests: ConnectionRequest[] = [];
  const count = plan.callers + plan.uploaders;
  const callers = Array.from({ length: count }, (_, number) => {
    const caller = new ConnectionCaller({
      ...parts,
      name: `connection${number}`,
      random: createRandom(),
      sendsLargeBodies: number >= plan.callers,
      isOver,
      record: (request) => requests.push(request),
    });
    return caller.run();
  });
  const busyDaemons = new Set<string>();
  const createContext = () => ({
    ...parts,
    random: createRandom(),
    busyDaemons,
    isOver,
    sleep: (milliseconds: number) => sleepUnlessOver(milliseconds, isOver),
  });
  const operators = new DocumentOperators({
    ...parts,
    random: createRandom(),
    isOver,
    adapt: allowLargeBodies,
  });
  await Promise.all([
    ...callers,
    operators.run(),
    ...Array.from(
      { length: STOP_SERIES },
      () => stopInSeries(createContext()),
    ),
    killInSeries(createContext()),
    watchGateways(createContext()),
  ]);
  return requests;
}

function checkRequests(
  requests: readonly ConnectionRequest[],
  upstreams: readonly OpaqueUpstream[],
  records: CallerRecords,
): void {
  const runs = new Map<string, number>();
  for (const { callId } of upstreams.flatMap((upstream) => upstream.runs)) {
    runs.set(callId, (runs.get(callId) ?? 0) + 1);
  }
  for (const request of requests) {
    const { callId, path, answer, life } = request;
    const runCount = runs.get(callId) ?? 0;
    records.count(`status ${answer?.status ?? "none"}`);
    if (path.startsWith("/write/") && runCount > 1) {
      records.fail(PROMISES.AT_MOST_ONCE, `${callId} ran ${runCount} times`);
    }
    if (answer !== undefined) checkAnswer(request, { runCount, records });
    const isLost = request.isWritten && runCount > 0 && answer === undefined;
    if (isLost && !life.isKilled) {
      records.fail(PROMISES.ANSWERED, describeLost(request));
    }
  }
}

function describeLost(request: ConnectionRequest): string {
  const { callId, path, workMilliseconds, life, ahead } = request;
  const { deadlineMilliseconds, sentAt, closedAt = Infinity } = request;
  return `${callId} ${path}: ${workMilliseconds} ms of work, ` +
    `deadline ${deadlineMilliseconds} ms, ${ahead} ahead of it, closed after ` +
    `${Math.round(closedAt - sentAt)} ms, ` +
    (life.isStopping ? "in a stop" : "in service");
}

function checkAnswer(
  request: ConnectionRequest,
  details: { readonly runCount: number; readonly records: CallerRecords },
): void {
  const { callId, path, answer } = request;
  const { runCount, records } = details;
  if (answer === undefined) return;
  if (NOT_RUN_STATUSES.has(answer.status) && runCount > 0) {
    records.fail(
      PROMISES.REFUSED_NEVER_RUNS,
      `${callId} ${path} got ${answer.status} and ran`,
    );
  }
  if (answer.status !== OK) return;
  const isOwn = path.includes("stream")
    ? answer.body.split("data: ").length - 1 === STREAM_EVENTS
    : answer.body === `ran ${callId}`;
  if (isOwn) return;
  records.fail(PROMISES.CORRECT_ANSWER, `${callId} got ${answer.body}`);
}

function checkMemory(
  lives: GatewayLives,
  records: CallerRecords,
  boundMegabytes: number,
): void {
  for (const { name, pid, peakMegabytes } of lives.all) {
    const peak = Math.round(peakMegabytes);
    records.recordMost("peak memory of a gateway, MB", peak);
    if (peakMegabytes <= boundMegabytes) continue;
    records.fail(
      PROMISES.MEMORY,
      `${name} (${pid}) had ${peak} MB, ${Math.round(boundMegabytes)} allowed`,
    );
  }
}
