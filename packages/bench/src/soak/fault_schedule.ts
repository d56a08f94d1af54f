/** Injects a sequence of faults that is determined by a seed. */

import { sleep } from "@mallowlift/core";
import type { FakeEngine, FakeService } from "@mallowlift/mocks";
import type { Site } from "../site/site.ts";
import type { Random } from "./random.ts";
import type { SoakRecords } from "./records.ts";

/** Components that faults are injected into. */
export interface FaultTargets {
  readonly site: Site;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
}

/** One kind of fault. */
interface Fault {
  readonly name: string;
  inject(targets: FaultTargets, random: Random): Promise<void>;
}

const FAULTS: readonly Fault[] = [
  {
    name: "kill replica",
    inject: (targets, random) => killAndRestart(targets, random, "replica"),
  },
  {
    name: "kill sidecar",
    inject: (targets, random) => killAndRestart(targets, random, "sidecar"),
  },
  {
    name: "kill entry",
    inject: (targets, random) => killAndRestart(targets, random, "entry"),
  },
  { name: "freeze replica", inject: freezeReplica },
  { name: "freeze sidecar", inject: freezeSidecar },
  { name: "isolate replica", inject: isolateReplica },
  { name: "cut one way", inject: cutOneWay },
  { name: "reset connections", inject: resetConnections },
  { name: "slow connections", inject: slowConnections },
  { name: "break streams", inject: breakStreams },
  { name: "duplicate and cross events", inject: duplicateEvents },
  { name: "drop service answers", inject: dropAnswers },
  { name: "lose replica data", inject: loseDataThenKill },
  { name: "planned restart", inject: plannedRestart },
];

/** Injects one fault after the other until the soak is over. */
export async function injectFaults(
  targets: FaultTargets,
  options: {
    readonly random: Random;
    readonly records: SoakRecords;
    readonly isOver: () => boolean;
    readonly print: (line: string) => void;
  },
): Promise<void> {
  const { random, records, isOver, print } = options;
  const startedAt = Date.now();
  while (!isOver()) {
    await sleep(random.between(300, 1_500));
    if (isOver()) return;
    const fault = random.choose(FAULTS);
    print(`${((Date.now() - startedAt) / 1_000).toFixed(1)} s: ${fault.name}`);
    records.count(`fault: ${fault.name}`);
    await fault.inject(targets, random);
  }
}

function chooseDaemonName(
  targets: FaultTargets,
  random: Random,
  role: string,
): string {
  const names = targets.site.daemons.filter((daemon) =>
    daemon.plan.role === role
  )
    .map((daemon) => daemon.plan.name);
  return random.choose(names);
}

async function killAndRestart(
  targets: FaultTargets,
  random: Random,
  role: string,
): Promise<void> {
  const name = chooseDaemonName(targets, random, role);
  const { process } = targets.site.get(name);
  await process.kill();
  await sleep(random.between(0, 2_500));
  process.start();
  if (role === "replica") await targets.site.waitUntilHealthy([name]);
}

async function freeze(
  targets: FaultTargets,
  random: Random,
  role: string,
): Promise<void> {
  const { process } = targets.site.get(chooseDaemonName(targets, random, role));
  process.signal("SIGSTOP");
  await sleep(random.between(500, 6_000));
  process.signal("SIGCONT");
  await sleep(500);
}

async function freezeReplica(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  await freeze(targets, random, "replica");
}

async function freezeSidecar(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  await freeze(targets, random, "sidecar");
}

async function isolateReplica(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const proxies = targets.site.listProxies(
    chooseDaemonName(targets, random, "replica"),
  );
  for (const { proxy } of proxies) proxy.dropAll();
  await sleep(random.between(500, 6_000));
  for (const { proxy } of proxies) proxy.heal();
}

async function cutOneWay(targets: FaultTargets, random: Random): Promise<void> {
  const { proxy } = random.choose(targets.site.proxies);
  if (random.happens(50)) proxy.faults.dropToClient = true;
  else proxy.faults.dropToServer = true;
  await sleep(random.between(300, 6_000));
  proxy.heal();
}

async function resetConnections(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  for (const { proxy } of targets.site.proxies) {
    if (random.happens(50)) proxy.reset();
  }
  await sleep(200);
}

async function slowConnections(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const slowed = targets.site.proxies.filter(() => random.happens(30));
  for (const { proxy } of slowed) {
    proxy.faults.delayMilliseconds = random.between(5, 100);
  }
  await sleep(random.between(300, 3_000));
  for (const { proxy } of slowed) proxy.heal();
}

async function breakStreams(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const { faults } = random.choose(targets.engines);
  faults.breakAfterEvents = random.between(1, 5);
  await sleep(random.between(300, 2_000));
  faults.breakAfterEvents = 0;
}

async function duplicateEvents(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const { faults } = random.choose(targets.engines);
  faults.duplicateEvents = true;
  faults.injectForeignEvents = random.happens(50);
  await sleep(random.between(300, 2_000));
  faults.duplicateEvents = false;
  faults.injectForeignEvents = false;
}

async function dropAnswers(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const { faults } = random.choose(targets.services);
  faults.dropAnswers = true;
  await sleep(random.between(100, 800));
  faults.dropAnswers = false;
}

/**
 * Deletes a replica's data, waits until it is healthy again, then at once kills a
 * random replica, unless that is the same one.
 */
async function loseDataThenKill(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const { site } = targets;
  const name = chooseDaemonName(targets, random, "replica");
  const { process } = site.get(name);
  await process.kill();
  site.deleteData(name);
  process.start();
  await site.waitUntilHealthy([name]);
  const second = chooseDaemonName(targets, random, "replica");
  if (second === name) return;
  await site.get(second).process.kill();
  await sleep(random.between(500, 2_000));
  site.get(second).process.start();
  await site.waitUntilHealthy([second]);
}

async function plannedRestart(
  targets: FaultTargets,
  random: Random,
): Promise<void> {
  const name = random.choose(targets.site.daemons).plan.name;
  const { process } = targets.site.get(name);
  await process.stop();
  process.start();
  if (name.startsWith("replica")) await targets.site.waitUntilHealthy([name]);
}
