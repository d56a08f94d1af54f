/** Mixes faults over a live small site and checks every promise from outside. */

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
const MAX_SETTLE_MILLISECONDS = 60_000;
const IN_FORCE_MILLISECONDS = 11_000;

/** How long and hard a soak is. */
export interface SoakPlan {
  readonly seed: number;
  readonly seconds: number;
  readonly workers: number;
  readonly folder: string;
  readonly print: (line: string) => void;
}

/** What a soak found. */
export interface SoakResult {
  readonly records: SoakRecords;
  readonly verdicts: readonly SoakVerdict[];
}

/** Whether one promise was seen broken. */
export interface SoakVerdict {
  readonly invariant: string;
  readonly violations: number;
}

/** Runs a soak. */
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

interface SoakParts {
  readonly site: Site;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  readonly records: SoakRecords;
}

async function runLoad(plan: SoakPlan, parts: SoakParts): Promise<void> {
  const { site, records } = parts;
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
  await injectFaults(parts, {
    random: new Random(plan.seed),
    records,
    isOver,
    print: plan.print,
  });
  for (const daemon of site.daemons) {
    if (!daemon.process.isRunning) daemon.process.start();
  }
  await site.waitUntilHealthy();
  const settled = Promise.all(workers).then(() => true);
  const isSettled = await Promise.race([
    settled,
    sleep(MAX_SETTLE_MILLISECONDS),
  ]);
  if (isSettled !== true) {
    records.violate("whole answer", "A caller got no definite answer");
  }
  await operators;
  await checkRevision(site, { client: first, records });
  await checkInvariants({
    ...parts,
    findClient: (outfit) => (outfit === "north" ? north : south)[0] ?? first,
  });
  for (const client of [...north, ...south]) client.close();
}

/** Every daemon must have the newest revision in force within the limit. */
async function checkRevision(
  site: Site,
  options: { readonly client: SiteClient; readonly records: SoakRecords },
): Promise<void> {
  const { client, records } = options;
  const deadline = Date.now() + IN_FORCE_MILLISECONDS;
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
    const wanted = site.daemons.filter((daemon) =>
      daemon.plan.role !== "replica"
    );
    lagging = wanted.map((daemon) => daemon.plan.name).filter((name) =>
      !followers.some((known) =>
        known.daemonId === name && known.revision === revision
      )
    );
    if (lagging.length === 0) return;
    await sleep(200);
  }
  records.violate("configuration in force", `${lagging.join(", ")} lag`);
}
