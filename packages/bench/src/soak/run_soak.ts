/** Injects faults into a small running site and checks every promise. */

import { mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "@mallowlift/core";
import { FakeEngine, FakeService } from "@mallowlift/mocks";
import { OUTFIT_TOKENS, seedResources } from "../site/seed_resources.ts";
import { Site } from "../site/site.ts";
import { SiteClient } from "../site/site_client.ts";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import { checkInvariants, INVARIANTS } from "./check_invariants.ts";
import { injectFaults } from "./fault_schedule.ts";
import { raceOperators } from "./operator_worker.ts";
import { ProgramWorker } from "./program_worker.ts";
import { Random } from "./random.ts";
import { SoakRecords } from "./records.ts";

const ENGINES = 3;
const SERVICES = 2;
const MAX_FINISH_MILLISECONDS = 60_000;
const CONFIGURATION_MILLISECONDS = 11_000;

/** Seed, duration and load of a soak. */
export interface SoakPlan {
  readonly seed: number;
  /** Time for which faults are injected, s. */
  readonly seconds: number;
  /** Number of concurrent callers. */
  readonly workers: number;
  /** Folder of the site's data; it is deleted first. */
  readonly folder: string;
  /** Called with a line for each fault. */
  readonly print: (line: string) => void;
}

/** Result of a soak. */
export interface SoakResult {
  readonly records: SoakRecords;
  readonly verdicts: readonly SoakVerdict[];
}

/** Number of violations of one promise. */
export interface SoakVerdict {
  readonly invariant: string;
  readonly violations: number;
}

/** Runs a soak of entries, replicas and sidecars. */
export async function runSoak(plan: SoakPlan): Promise<SoakResult> {
  rmSync(plan.folder, { recursive: true, force: true });
  mkdirSync(join(plan.folder, "logs"), { recursive: true });
  const engines = Array.from({ length: ENGINES }, () => new FakeEngine());
  const services = Array.from({ length: SERVICES }, () => new FakeService());
  for (const fake of [...engines, ...services]) await fake.start();
  const site = new Site({
    folder: plan.folder,
    engines: ENGINES,
    services: SERVICES,
    proxied: true,
    programGroups: 2,
    overrides: {
      replica: { snapshot_entries: 300 },
      sidecar: { silent_milliseconds: 2_000 },
    },
  });
  await site.start({
    engineUrls: engines.map((engine) => engine.url),
    serviceUrls: services.map((service) => service.url),
  });
  const records = new SoakRecords();
  try {
    await runLoad(plan, { site, engines, services, records });
  } finally {
    await site.kill();
    for (const fake of [...engines, ...services]) await fake.stop();
  }
  const verdicts = INVARIANTS.map((invariant) => ({
    invariant,
    violations:
      records.violations.filter((known) => known.invariant === invariant)
        .length,
  }));
  return { records, verdicts };
}

interface SoakContext {
  readonly site: Site;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  readonly records: SoakRecords;
}

async function runLoad(plan: SoakPlan, context: SoakContext): Promise<void> {
  const { site, records } = context;
  const north = site.entryUrls.map((url) =>
    new SiteClient(url, OUTFIT_TOKENS.NORTH)
  );
  const south = site.entryUrls.map((url) =>
    new SiteClient(url, OUTFIT_TOKENS.SOUTH)
  );
  const first = north[0];
  if (first === undefined) throw new Error("The site has no entry");
  await seedResources(first, { engines: ENGINES, services: SERVICES });
  await site.waitUntilHealthy();
  const endsAt = Date.now() + plan.seconds * 1_000;
  const isOver = () => Date.now() > endsAt;
  const workers = Array.from({ length: plan.workers }, (_, number) => {
    const isNorth = number % 2 === 0;
    return new ProgramWorker({
      number,
      outfit: isNorth ? "north" : "south",
      clients: isNorth ? north : south,
      random: new Random(plan.seed * 1_000 + number),
      records,
      isOver,
    }).run();
  });
  const operators = raceOperators({ clients: north, records, isOver });
  await injectFaults(context, {
    random: new Random(plan.seed),
    records,
    isOver,
    print: plan.print,
  });
  for (const daemon of site.daemons) {
    if (!daemon.process.isRunning) daemon.process.start();
  }
  await site.waitUntilHealthy();
  const finished = Promise.all(workers).then(() => true);
  const isFinished = await Promise.race([
    finished,
    sleep(MAX_FINISH_MILLISECONDS),
  ]);
  if (isFinished !== true) {
    records.fail("whole answer", "A caller got no definite answer");
  }
  await operators;
  await checkConfiguration(site, { client: first, records });
  await checkInvariants({
    ...context,
    findClient: (outfit) => (outfit === "north" ? north : south)[0] ?? first,
  });
  for (const client of [...north, ...south]) client.close();
}

/** Checks that all daemons but replicas apply the newest revision within the limit. */
async function checkConfiguration(
  site: Site,
  options: { readonly client: SiteClient; readonly records: SoakRecords },
): Promise<void> {
  const { client, records } = options;
  const deadline = Date.now() + CONFIGURATION_MILLISECONDS;
  let lagging: readonly string[] = [];
  while (Date.now() < deadline) {
    const status = await client.send({
      method: "GET",
      path: "/v1/status",
      token: OPERATOR_TOKEN,
    });
    const { revision, followers } = status.body as {
      revision: number;
      followers: readonly { daemonId: string; revision: number }[];
    };
    const expectedDaemons = site.daemons.filter((daemon) =>
      daemon.plan.role !== "replica"
    );
    lagging = expectedDaemons.map((daemon) => daemon.plan.name).filter((name) =>
      !followers.some((known) =>
        known.daemonId === name && known.revision === revision
      )
    );
    if (lagging.length === 0) return;
    await sleep(200);
  }
  records.fail("configuration in force", `${lagging.join(", ")} lag`);
}
