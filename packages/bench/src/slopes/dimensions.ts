/** Measures a site at several sizes of one dimension at a time. */

import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import { sleep } from "@mallowlift/core";
import { runLoad } from "../path/run_load.ts";
import { SystemTarget } from "../path/call_target.ts";
import { type FakesProcess, startFakes } from "../site/fakes_process.ts";
import {
  OUTFIT_TOKENS,
  seedResources,
  SITE_MODEL,
} from "../site/seed_resources.ts";
import { Site } from "../site/site.ts";
import { SiteClient } from "../site/site_client.ts";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import { SimulatedDaemons } from "./simulated_daemons.ts";
import {
  averageSamples,
  type DaemonSample,
  sampleDaemons,
} from "./daemon_sample.ts";

const SAMPLE_SECONDS = 5;
const SETTLE_MILLISECONDS = 1_500;
const REPLICAS = ["replica-1", "replica-2", "replica-3"];
const PARALLEL = 32;

/** Measurements at one size. */
export interface SizeSample {
  readonly size: number;
  /** Mean samples of the configuration leader, the replicas, the entry and a sidecar. */
  readonly samples: readonly DaemonSample[];
  /** Time until every follower had applied a change; only in the dimension `followers`. */
  readonly inForceMilliseconds?: number;
}

/** Measurements over all sizes of one dimension. */
export interface DimensionResult {
  readonly dimension: string;
  readonly unit: string;
  readonly sizes: readonly SizeSample[];
}

/** A running site with its fake engines and a client. */
interface BenchSite {
  readonly site: Site;
  readonly fakes: FakesProcess;
  readonly client: SiteClient;
  stop(): Promise<void>;
}

/** Measures all dimensions one after another and prints their sizes. */
export async function measureDimensions(
  print: (line: string) => void,
): Promise<readonly DimensionResult[]> {
  const results: DimensionResult[] = [];
  for (
    const measure of [
      measureFollowers,
      measureSidecars,
      measureResources,
      measurePrograms,
      measureHistory,
      measureCalls,
      measureGroups,
    ]
  ) {
    const result = await measure();
    print(
      `${result.dimension}: ${
        result.sizes.map((size) => size.size).join(", ")
      }`,
    );
    results.push(result);
  }
  return results;
}

async function startBenchSite(
  name: string,
  programGroups = 4,
): Promise<BenchSite> {
  const folder = resolve(".site", `slopes-${name}`);
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(join(folder, "logs"), { recursive: true });
  const fakes = await startFakes({
    name: "fakes",
    logFolder: join(folder, "logs"),
    engines: 2,
    services: 0,
    engine: { maxBatch: 128, cacheTokens: 5_000_000 },
  });
  const site = new Site({
    folder,
    engines: 2,
    services: 0,
    entries: 1,
    programGroups,
    overrides: {
      daemon: { log_level: "warn" },
      sidecar: { slots: 128, queue_limit: 512 },
    },
  });
  await site.start(fakes);
  const client = new SiteClient(site.entryUrls[0] ?? "", OUTFIT_TOKENS.NORTH);
  await seedResources(client, { engines: 2, services: 0 });
  await site.waitUntilHealthy();
  const stop = async () => {
    client.close();
    await site.kill();
    await fakes.process.kill();
  };
  return { site, fakes, client, stop };
}

/** Samples each part; the leader of the configuration group is also listed separately. */
async function sampleParts(bench: BenchSite): Promise<readonly DaemonSample[]> {
  await sleep(SETTLE_MILLISECONDS);
  const leader = await findConfigurationLeader(bench);
  const names = [...REPLICAS, "entry-1", "engine-1"];
  const samples = await sampleDaemons(bench.site, names, SAMPLE_SECONDS);
  const pick = (wanted: (name: string) => boolean) =>
    samples.filter((sample) => wanted(sample.name));
  return [
    averageSamples("configuration leader", pick((name) => name === leader)),
    averageSamples("replica", pick((name) => REPLICAS.includes(name))),
    averageSamples("entry", pick((name) => name === "entry-1")),
    averageSamples("sidecar", pick((name) => name === "engine-1")),
  ];
}

async function findConfigurationLeader(bench: BenchSite): Promise<string> {
  const status = await bench.client.send({
    method: "GET",
    path: "/v1/status",
    token: OPERATOR_TOKEN,
  });
  const groups = status.body.groups as { group: number; leader: string }[];
  return groups.find((group) => group.group === 0)?.leader ?? "replica-1";
}

async function measureFollowers(): Promise<DimensionResult> {
  const bench = await startBenchSite("followers");
  const simulated = new SimulatedDaemons(bench.site);
  const sizes: SizeSample[] = [];
  for (const size of [0, 50, 100, 200, 390]) {
    simulated.growFollowers(size);
    const samples = await sampleParts(bench);
    const changed = await bench.client.applyResource("priority", "measured", {
      level: size % 100,
    });
    const inForceMilliseconds = await simulated.measureInForce(
      Number(changed.body.revision),
    );
    sizes.push({ size, samples, inForceMilliseconds });
  }
  simulated.stop();
  await bench.stop();
  return {
    dimension: "followers",
    unit: "daemons that follow the configuration",
    sizes,
  };
}

async function measureSidecars(): Promise<DimensionResult> {
  const bench = await startBenchSite("sidecars");
  const simulated = new SimulatedDaemons(bench.site);
  const sizes: SizeSample[] = [];
  for (const size of [0, 75, 150, 300, 600]) {
    simulated.growReporters(size);
    sizes.push({ size, samples: await sampleParts(bench) });
  }
  simulated.stop();
  await bench.stop();
  return { dimension: "sidecars", unit: "reporting sidecars", sizes };
}

async function measureResources(): Promise<DimensionResult> {
  const bench = await startBenchSite("resources");
  const sizes: SizeSample[] = [];
  let createdCount = 0;
  for (const size of [0, 250, 500, 1_000, 2_000]) {
    await runInParallel(size - createdCount, async (number) => {
      const name = `resource-${createdCount + number}`;
      const body = { order_id: name, version: 0, spec: { level: 1 } };
      const path = `/v1/resources/priority/${name}`;
      await bench.client.send({
        method: "PUT",
        path,
        token: OPERATOR_TOKEN,
        body,
      });
    });
    createdCount = size;
    sizes.push({ size, samples: await sampleParts(bench) });
  }
  await bench.stop();
  return { dimension: "resources", unit: "resources", sizes };
}

async function measurePrograms(): Promise<DimensionResult> {
  const bench = await startBenchSite("programs");
  const sizes: SizeSample[] = [];
  let createdCount = 0;
  for (const size of [0, 1_000, 2_000, 4_000, 8_000]) {
    await runInParallel(size - createdCount, async (number) => {
      await bench.client.createProgram({
        request_id: `idle-${createdCount + number}`,
      });
    });
    createdCount = size;
    sizes.push({ size, samples: await sampleParts(bench) });
  }
  await bench.stop();
  return { dimension: "programs", unit: "idle programs", sizes };
}

async function measureHistory(): Promise<DimensionResult> {
  const bench = await startBenchSite("history");
  const sizes: SizeSample[] = [];
  const content = "stake 12 ".repeat(28_000);
  let createdSize = 0;
  for (const size of [0, 8, 16, 32, 64]) {
    await runInParallel((size - createdSize) * 4, async (number) => {
      const created = await bench.client.createProgram({
        request_id: `long-${createdSize}-${number}`,
      });
      await bench.client.callModel(String(created.body.program), {
        request_id: "long",
        model: SITE_MODEL,
        messages: [{ role: "user", content }],
        max_tokens: 1,
      });
    }, 4);
    createdSize = size;
    sizes.push({ size, samples: await sampleParts(bench) });
  }
  await bench.stop();
  return { dimension: "history", unit: "MB of history", sizes };
}

async function measureCalls(): Promise<DimensionResult> {
  const bench = await startBenchSite("calls");
  const target = new SystemTarget(bench.client, 16);
  const plan = { turns: 10, pauseMilliseconds: 500 };
  await runLoad(target, { ...plan, programs: 30, seconds: 4 });
  const sizes: SizeSample[] = [];
  for (const programs of [0, 15, 30, 60, 120]) {
    const seconds = SAMPLE_SECONDS + SETTLE_MILLISECONDS / 1_000 + 2;
    const load = runLoad(target, { ...plan, programs, seconds });
    const samples = await sampleParts(bench);
    const { callsPerSecond } = await load;
    sizes.push({ size: callsPerSecond, samples });
  }
  await bench.stop();
  return {
    dimension: "calls",
    unit: "streamed calls a second of 16 tokens",
    sizes,
  };
}

async function measureGroups(): Promise<DimensionResult> {
  const sizes: SizeSample[] = [];
  for (const size of [1, 4, 8, 16]) {
    const bench = await startBenchSite(`groups-${size}`, size);
    sizes.push({ size, samples: await sampleParts(bench) });
    await bench.stop();
  }
  return { dimension: "groups", unit: "idle program groups", sizes };
}

/** Runs `work` `count` times, at most `parallel` at a time. */
async function runInParallel(
  count: number,
  work: (number: number) => Promise<void>,
  parallel = PARALLEL,
): Promise<void> {
  let next = 0;
  const tasks = Array.from({ length: parallel }, async () => {
    while (next < count) await work(next++);
  });
  await Promise.all(tasks);
}
