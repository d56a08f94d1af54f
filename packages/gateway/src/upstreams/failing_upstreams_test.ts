/**
 * Simulates gateways that call a set of upstreams of which some fail. Guards
 * against a choice that sends more calls to failing upstreams than to healthy
 * ones because they answer fast or seem idle.
 */

import type { UpstreamInstance } from "@mallowlift/core";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "tap";
import type { Upstream } from "./upstream.ts";
import { UpstreamTable } from "./upstream_table.ts";

const UPSTREAMS = 30;
const FAILING_UPSTREAMS = 4;
const GATEWAYS = 20;
const SECONDS = 8;
/** Of each gateway. */
const CALLS_PER_SECOND = 12;
const ANSWER_MILLISECONDS = 250;
/** Timeout of a call to an upstream that never answers. */
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const RANDOM_STEPS = 1_000_000;

const FAULTS = {
  /** The upstream answers with an error at once. */
  FAST: "fast",
  /** The upstream never answers; the call times out. */
  HANGING: "hanging",
} as const;

interface CallCounts {
  readonly calls: number;
  readonly failed: number;
}

interface ScheduledEnd {
  readonly at: number;
  readonly run: () => void;
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () =>
    unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, generator) /
    RANDOM_STEPS;
}

function createInstances(): readonly UpstreamInstance[] {
  return Array.from({ length: UPSTREAMS }, (_, index) => ({
    id: `u-${index}`,
    service: "s",
    address: "127.0.0.1:1",
    failureDomain: "d",
    slots: 8,
    leaving: false,
  }));
}

function isFailing(upstream: Upstream): boolean {
  return Number(upstream.instance.id.slice(2)) < FAILING_UPSTREAMS;
}

function finishCall(
  upstream: Upstream,
  call: {
    readonly request: object;
    readonly hasFailed: boolean;
    readonly at: number;
  },
): void {
  upstream.running--;
  upstream.health.recordSettled(call.request);
  if (call.hasFailed) return upstream.health.recordFailure(call.at);
  upstream.health.recordTime(ANSWER_MILLISECONDS, call.at);
}

/** Simulates the calls of one gateway; failed calls are not retried. */
function simulateGateway(
  fault: typeof FAULTS[keyof typeof FAULTS],
  random: () => number,
): CallCounts {
  const table = new UpstreamTable(random, "d");
  table.update(createInstances());
  const scheduledEnds: ScheduledEnd[] = [];
  let calls = 0;
  let failed = 0;
  for (let now = 0; now < SECONDS * 1_000; now++) {
    for (
      const scheduledEnd of scheduledEnds.filter((scheduled) =>
        scheduled.at <= now
      )
    ) {
      scheduledEnds.splice(scheduledEnds.indexOf(scheduledEnd), 1);
      scheduledEnd.run();
    }
    if (random() >= CALLS_PER_SECOND / 1_000) continue;
    const upstream = table.choose({
      service: "s",
      tried: new Set(),
      preferredId: "",
      objectKey: "",
      isRepeatable: false,
      gateways: GATEWAYS,
      now,
    });
    if (upstream === undefined) continue;
    calls++;
    const hasFailed = isFailing(upstream);
    if (hasFailed) failed++;
    const durationMilliseconds = !hasFailed
      ? ANSWER_MILLISECONDS
      : fault === FAULTS.FAST
      ? 0
      : CALL_TIMEOUT_MILLISECONDS;
    const request = {};
    upstream.running++;
    upstream.health.recordSent(request, now);
    const at = now + durationMilliseconds;
    scheduledEnds.push({
      at,
      run: () => finishCall(upstream, { request, hasFailed, at }),
    });
  }
  return { calls, failed };
}

for (const fault of Object.values(FAULTS)) {
  test(`failing upstreams (${fault}) get at most their share of the calls`, (t) => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const random = createRandom(seed);
      let calls = 0;
      let failed = 0;
      for (let gateway = 0; gateway < GATEWAYS; gateway++) {
        const counts = simulateGateway(fault, random);
        calls += counts.calls;
        failed += counts.failed;
      }
      const share = FAILING_UPSTREAMS / UPSTREAMS;
      t.ok(failed < share * calls, `seed ${seed}: ${failed} of ${calls}`);
    }
    t.end();
  });
}

test("all upstreams are tried when most of them seem to have failed", (t) => {
  const table = new UpstreamTable(() => 0.5, "d");
  table.update(createInstances());
  for (const upstream of table.list()) upstream.health.recordFailure(0);
  const options = {
    service: "s",
    tried: new Set<string>(),
    preferredId: "",
    objectKey: "",
    isRepeatable: false,
    gateways: GATEWAYS,
    now: 1,
  };
  t.ok(table.choose(options));
  t.end();
});

test("a turn avoids its preferred upstream while that upstream fails", (t) => {
  const table = new UpstreamTable(() => 0.5, "d");
  table.update(createInstances());
  const first = [...table.list()][0];
  first?.health.recordFailure(0);
  const chosen = table.choose({
    service: "s",
    tried: new Set(),
    preferredId: first?.instance.id ?? "",
    objectKey: "",
    isRepeatable: false,
    gateways: GATEWAYS,
    now: 1_000,
  });
  t.not(chosen, first);
  t.end();
});
