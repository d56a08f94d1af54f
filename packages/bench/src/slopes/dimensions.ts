/** The sizes that a site is measured at, one dimension at a time. */

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
import { Crowd } from "./crowds.ts";
import {
  averageSamples,
  type DaemonSample,
  sampleDaemons,
} from "./daemon_sample.ts";

const SAMPLE_SECONDS = 5;
const SETTLE_MILLISECONDS = 1_500;
const REPLICAS = ["replica-1", "replica-2", "replica-3"];
const PARALLEL = 32;

/** What was measured at one size. */
export interface SizeSample {
  readonly size: number;
  /** Samples by part: leader of the measured group or groups, replica, entry, sidecar. */
  readonly samples: readonly DaemonSample[];
  /** Time until a change was in force everywhere, where that was measured. */
  readonly inForceMilliseconds?: number;
}

/** What was measured over one dimension. */
export interface DimensionResult {
  readonly dimension: string;
  readonly unit: string;
  readonly sizes: readonly SizeSample[];
}

/** A running site for one dimension. */
interface Bed {
  readonly site: Site;
  readonly fakes: FakesProcess;
  readonly client: SiteClient;
  stop(): Promise<void>;
}

/** Measures all dimensions, one after the other. */
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

async function startBed(name: string, programGroups = 4): Promise<Bed> {
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

/** Samples the replica that leads the configuration apart from the others. */
async function sampleParts(bed: Bed): Promise<readonly DaemonSample[]> {
  await sleep(SETTLE_MILLISECONDS);
  const leader = await findConfigurationLeader(bed);
  const names = [...REPLICAS, "entry-1", "engine-1"];
  const samples = await sampleDaemons(bed.site, names, SAMPLE_SECONDS);
  const pick = (wanted: (name: string) => boolean) =>
    samples.filter((sample) => wanted(sample.name));
  return [
    averageSamples("configuration leader", pick((name) => name === leader)),
    averageSamples("replica", pick((name) => REPLICAS.includes(name))),
    averageSamples("entry", pick((name) => name === "entry-1")),
    averageSamples("sidecar", pick((name) => name === "engine-1")),
  ];
}

async function findConfigurationLeader(bed: Bed): Promise<string> {
  const status = await bed.client.send({
    method: "GET",
    path: "/v1/status",
    token: OPERATOR_TOKEN,
  });
  const groups = status.body.groups as { group: number; leader: string }[];
  return groups.find((group) => group.group === 0)?.leader ?? "replica-1";
}

async function measureFollowers(): Promise<DimensionResult> {
  const bed = await startBed("followers");
  const crowd = new Crowd(bed.site);
  const sizes: SizeSample[] = [];
  for (const size of [0, 50, 100, 200, 390]) {
    crowd.growFollowers(size);
    const samples = await sampleParts(bed);
    const changed = await bed.client.applyResource("priority", "measured", {
      level: size % 100,
    });
    const inForceMilliseconds = await crowd.measureInForce(
      Number(changed.body.revision),
    );
    sizes.push({ size, samples, inForceMilliseconds });
  }
  crowd.stop();
  await bed.stop();
  return {
    dimension: "followers",
    unit: "daemons that follow the configuration",
    sizes,
  };
}

async function measureSidecars(): Promise<DimensionResult> {
  const bed = await startBed("sidecars");
  const crowd = new Crowd(bed.site);
  const sizes: SizeSample[] = [];
  for (const size of [0, 75, 150, 300, 600]) {
    crowd.growReporters(size);
    sizes.push({ size, samples: await sampleParts(bed) });
  }
  crowd.stop();
  await bed.stop();
  return { dimension: "sidecars", unit: "reporting sidecars", sizes };
}

async function measureResources(): Promise<DimensionResult> {
  const bed = await startBed("resources");
  const sizes: SizeSample[] = [];
  let made = 0;
  for (const size of [0, 250, 500, 1_000, 2_000]) {
    await runInParallel(size - made, async (number) => {
      const name = `resource-${made + number}`;
      const body = { order_id: name, version: 0, spec: { level: 1 } };
      const path = `/v1/resources/priority/${name}`;
      await bed.client.send({
        method: "PUT",
        path,
        token: OPERATOR_TOKEN,
        body,
      });
    });
    made = size;
    sizes.push({ size, samples: await sampleParts(bed) });
  }
  await bed.stop();
  return { dimension: "resources", unit: "resources", sizes };
}

async function measurePrograms(): Promise<DimensionResult> {
  const bed = await startBed("programs");
  const sizes: SizeSample[] = [];
  let made = 0;
  for (const size of [0, 1_000, 2_000, 4_000, 8_000]) {
    await runInParallel(size - made, async (number) => {
      await bed.client.createProgram({ request_id: `idle-${made + number}` });
    });
    made = size;
    sizes.push({ size, samples: await sampleParts(bed) });
  }
  await bed.stop();
  return { dimension: "programs", unit: "idle programs", sizes };
}

async function measureHistory(): Promise<DimensionResult> {
  const bed = await startBed("history");
  const sizes: SizeSample[] = [];
  const content = "stake 12 ".repeat(28_000);
  let made = 0;
  for (const size of [0, 8, 16, 32, 64]) {
    await runInParallel((size - made) * 4, async (number) => {
      const created = await bed.client.createProgram({
        request_id: `long-${made}-${number}`,
      });
      await bed.client.callModel(String(created.body.program), {
        request_id: "long",
        model: SITE_MODEL,
        messages: [{ role: "user", content }],
        max_tokens: 1,
      });
    }, 4);
    made = size;
    sizes.push({ size, samples: await sampleParts(bed) });
  }
  await bed.stop();
  return { dimension: "history", unit: "MB of history", sizes };
}

async function measureCalls(): Promise<DimensionResult> {
  const bed = await startBed("calls");
  const target = new SystemTarget(bed.client, 16);
  const plan = { turns: 10, pauseMilliseconds: 500 };
  await runLoad(target, { ...plan, programs: 30, seconds: 4 });
  const sizes: SizeSample[] = [];
  for (const programs of [0, 15, 30, 60, 120]) {
    const seconds = SAMPLE_SECONDS + SETTLE_MILLISECONDS / 1_000 + 2;
    const load = runLoad(target, { ...plan, programs, seconds });
    const samples = await sampleParts(bed);
    const { callsPerSecond } = await load;
    sizes.push({ size: callsPerSecond, samples });
  }
  await bed.stop();
  return {
    dimension: "calls",
    unit: "streamed calls a second of 16 tokens",
    sizes,
  };
}

async function measureGroups(): Promise<DimensionResult> {
  const sizes: SizeSample[] = [];
  for (const size of [1, 4, 8, 16]) {
    const bed = await startBed(`groups-${size}`, size);
    sizes.push({ size, samples: await sampleParts(bed) });
    await bed.stop();
  }
  return { dimension: "groups", unit: "idle program groups", sizes };
}

/** Does a piece of work so many times, a few at once. */
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
