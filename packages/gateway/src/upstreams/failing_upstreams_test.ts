/** Loads on upstreams of which some fail, played without a network. */

import type { UpstreamInstance } from "@mallowlift/core";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "tap";
import type { Upstream } from "./upstream.ts";
import { UpstreamTable } from "./upstream_table.ts";

const UPSTREAMS = 30;
const FAILING = 4;
const GATEWAYS = 20;
const SECONDS = 8;
/** Calls a second at each gateway. */
const RATE = 12;
const ANSWER_MILLISECONDS = 250;
/** Time of a call at an upstream that never answers. */
const PATIENCE_MILLISECONDS = 1_000;
const RANDOM_STEPS = 1_000_000;

const FAULTS = {
  /** Answers at once that it failed. */
  FAST: "fast",
  /** Never answers; the call's time runs out. */
  HANGING: "hanging",
} as const;

interface Played {
  readonly calls: number;
  readonly failed: number;
}

interface Ending {
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
  return Number(upstream.instance.id.slice(2)) < FAILING;
}

function endCall(
  upstream: Upstream,
  call: {
    readonly request: object;
    readonly isLost: boolean;
    readonly at: number;
  },
): void {
  upstream.running--;
  upstream.health.noteHeard(call.request);
  if (call.isLost) return upstream.health.noteFailure(call.at);
  upstream.health.noteTime(ANSWER_MILLISECONDS, call.at);
}

/** Plays one gateway's share of the load; failed calls are not made again. */
function playGateway(
  fault: typeof FAULTS[keyof typeof FAULTS],
  random: () => number,
): Played {
  const table = new UpstreamTable(random, "d");
  table.update(createInstances());
  const endings: Ending[] = [];
  let calls = 0;
  let failed = 0;
  for (let now = 0; now < SECONDS * 1_000; now++) {
    for (const ending of endings.filter((known) => known.at <= now)) {
      endings.splice(endings.indexOf(ending), 1);
      ending.run();
    }
    if (random() >= RATE / 1_000) continue;
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
    const isLost = isFailing(upstream);
    if (isLost) failed++;
    const taken = !isLost
      ? ANSWER_MILLISECONDS
      : fault === FAULTS.FAST
      ? 0
      : PATIENCE_MILLISECONDS;
    const request = {};
    upstream.running++;
    upstream.health.noteSent(request, now);
    const at = now + taken;
    endings.push({ at, run: () => endCall(upstream, { request, isLost, at }) });
  }
  return { calls, failed };
}

for (const fault of Object.values(FAULTS)) {
  test(`upstreams that fail (${fault}) draw no more than their share`, (t) => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const random = createRandom(seed);
      let calls = 0;
      let failed = 0;
      for (let gateway = 0; gateway < GATEWAYS; gateway++) {
        const played = playGateway(fault, random);
        calls += played.calls;
        failed += played.failed;
      }
      const share = FAILING / UPSTREAMS;
      t.ok(failed < share * calls, `seed ${seed}: ${failed} of ${calls}`);
    }
    t.end();
  });
}

test("when most upstreams seem to have failed, all are tried", (t) => {
  const table = new UpstreamTable(() => 0.5, "d");
  table.update(createInstances());
  for (const upstream of table.list()) upstream.health.noteFailure(0);
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

test("a turn leaves the upstream of its history while that one fails", (t) => {
  const table = new UpstreamTable(() => 0.5, "d");
  table.update(createInstances());
  const first = [...table.list()][0];
  first?.health.noteFailure(0);
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
