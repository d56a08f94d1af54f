/** Site, callers and checks of the tests of large requests and answers. */

import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { type RoutingDocument, sleep } from "@mallowlift/core";
import { readDeployedOptions } from "./deployed_options.ts";
import {
  callGateway,
  type CallRequest,
  type CallResult,
} from "./gateway_caller.ts";
import {
  startTestSite,
  type TestSite,
  type TestSitePlan,
} from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import type { Test } from "tap";

export const CALLERS = 100;
export const BODY = Buffer.alloc(4_000_000, "b");
/** Memory of the smallest instances, MB. */
export const INSTANCE_MEGABYTES = 200;
/** Time that the upstream takes, ms. */
export const WORK_MILLISECONDS = 800;
/** Attempts of a caller that comes back as told: more than it needs. */
export const MAX_ATTEMPTS = 40;
export const SMALL_INTERVAL_MILLISECONDS = 100;
export const NODE_OPTIONS = readDeployedOptions("gateway");
export const DOCUMENT: RoutingDocument = {
  ...TEST_DOCUMENT,
  limits: { ...TEST_DOCUMENT.limits, maxBodyBytes: 4_194_304 },
};
export const CHUNKED = { "transfer-encoding": "chunked" };

export async function startSite(
  t: Parameters<typeof startTestSite>[0],
  plan: TestSitePlan = {},
): Promise<TestSite> {
  const running = await startTestSite(t, {
    stores: 1,
    upstreams: 2,
    nodeOptions: NODE_OPTIONS,
    document: DOCUMENT,
    ...plan,
    // Upstreams that take longer than the default would count as silent.
    gatewaySettings: {
      silent_milliseconds: 10 * WORK_MILLISECONDS,
      ...plan.gatewaySettings,
    },
  });
  for (const { faults } of running.upstreams) {
    faults.silentMilliseconds = WORK_MILLISECONDS;
  }
  return running;
}

/** Largest memory that the gateway has had, MB. */
export function readPeakMegabytes({ site }: TestSite): number {
  const pid = site.gateways[0]?.process.pid;
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1_024;
}

export async function readMetric(
  running: TestSite,
  name: string,
): Promise<number> {
  const [gateway] = running.site.gateways;
  const url = gateway?.healthUrl.replace("/healthz", "/metrics") ?? "";
  const text = await (await fetch(url)).text();
  const line = text.split("\n").find((line) => line.startsWith(`${name} `));
  return Number(line?.split(" ")[1] ?? NaN);
}

/** Ids of all calls that ran. */
export function listRuns({ upstreams }: TestSite): ReadonlySet<string> {
  return new Set(
    upstreams.flatMap(({ runs }) => runs.map(({ callId }) => callId)),
  );
}

export interface Attempt {
  readonly callId: string;
  readonly result: CallResult;
}

/** Calls until it is served, and waits as told between attempts. */
export async function callAsTold(
  url: string,
  call: CallRequest,
): Promise<Attempt[]> {
  const attempts: Attempt[] = [];
  while (attempts.length < MAX_ATTEMPTS) {
    const callId = `${call.callId}-${attempts.length}`;
    const result = await callGateway(url, { ...call, callId });
    attempts.push({ callId, result });
    if (result.status !== 503) break;
    await sleep(Number(result.retryAfter) * 1_000);
  }
  return attempts;
}

/** Calls with small bodies until `isOver`; returns their answers. */
export async function callSmall(
  url: string,
  isOver: () => boolean,
): Promise<CallResult[]> {
  const calls: Promise<CallResult>[] = [];
  while (!isOver()) {
    const callId = `small-${calls.length}`;
    calls.push(callGateway(url, { callId, path: "/read/", body: "small" }));
    await sleep(SMALL_INTERVAL_MILLISECONDS);
  }
  return await Promise.all(calls);
}

export function describeCounts(attempts: readonly Attempt[]): string {
  const counts = new Map<string, number>();
  for (const { result } of attempts) {
    const key = `${result.status}${result.whole ? "" : " cut"}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, count]) => `${count} of ${key}`).join(", ");
}

/** Checks that each attempt was answered truly and each caller was served. */
export function checkAttempts(
  t: Parameters<typeof startTestSite>[0],
  running: TestSite,
  attempts: readonly (readonly Attempt[])[],
): void {
  const all = attempts.flat();
  const runs = listRuns(running);
  t.comment(describeCounts(all));
  const untrue = all.filter(({ callId, result }) => {
    if (!result.whole) return true;
    if (result.status === 200) return !runs.has(callId);
    const isRefusal = result.status === 503 && Number(result.retryAfter) > 0;
    return !isRefusal || runs.has(callId);
  });
  t.same(
    untrue.map(({ callId, result }) => ({ callId, status: result.status })),
    [],
  );
  const served = attempts.filter((tries) =>
    tries.at(-1)?.result.status === 200
  );
  t.equal(served.length, attempts.length, "all are served in the end");
  const peak = readPeakMegabytes(running);
  t.ok(peak <= INSTANCE_MEGABYTES, `${peak} MB`);
  t.comment(`${Math.round(peak)} MB`);
  t.ok(running.site.gateways[0]?.process.isRunning);
}

/** Sends large bodies at once and checks the memory and the answers. */
export async function checkLargeBodies(
  t: Test,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<void> {
  const running = await startSite(t);
  let isOver = false;
  const small = callSmall(running.url, () => isOver);
  const calls = Array.from(
    { length: CALLERS },
    (_, number) =>
      callAsTold(running.url, {
        callId: `c-${number}`,
        path,
        body: BODY,
        headers,
      }),
  );
  const attempts = await Promise.all(calls);
  isOver = true;
  const smallAnswers = await small;
  t.ok(smallAnswers.every(({ status }) => status === 200), "small ones");
  checkAttempts(t, running, attempts);
  const partial = running.upstreams.flatMap(({ runs }) => runs).filter((
    { callId, body },
  ) => callId.startsWith("c-") && body.length !== BODY.length);
  t.equal(partial.length, 0, "bodies arrive whole");
}
