/** Faults of a gateway soak, injected in several concurrent series. */

import { appendFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "@mallowlift/core";
import type { FaultProxy } from "@mallowlift/mocks";
import type { SiteDaemon } from "../gateways/gateway_site.ts";
import type { Random } from "../soak/random.ts";
import { type CallerRecords, PROMISES } from "./caller_records.ts";
import type { SoakSite } from "./soak_site.ts";

/** Range of the pause between two faults of one series, ms. */
const PAUSE_MILLISECONDS = { least: 200, most: 1_200 };
/** Range of the duration of a fault, ms. */
const DURATION_MILLISECONDS = { least: 200, most: 4_000 };
/** Range of the pause between two silences of open connections, ms. */
const SILENCE_PAUSE_MILLISECONDS = { least: 1_000, most: 5_000 };
/** Longest wait for a store to be ready again after it lost its disk, ms. */
const REPAIR_MILLISECONDS = 60_000;

/** Longest wait for the first answer of a process about its health, ms. */
const HEALTH_ANSWER_MILLISECONDS = 10_000;

interface FaultContext extends SoakSite {
  readonly random: Random;
  readonly records: CallerRecords;
  readonly locks: FaultLocks;
  /** Sleeps for a time in ms, or until the soak is over if that is earlier. */
  readonly sleep: (milliseconds: number) => Promise<void>;
}

/** State that keeps concurrent series from conflicting faults. */
export class FaultLocks {
  /** Names of the daemons that a fault is being injected into. */
  readonly busyDaemons = new Set<string>();
  /**
   * True while a store with a lost disk is being repaired. The stores only need
   * to tolerate one lost disk at a time.
   */
  isDiskLost = false;
}

type Fault = (context: FaultContext) => Promise<void>;

/** All faults, by name. */
export const GATEWAY_FAULTS: Readonly<Record<string, Fault>> = {
  "kill a gateway": (context) => withGateway(context, killAndRestart),
  "kill a store": (context) => withStore(context, killAndRestart),
  "kill all stores": killAllStores,
  "freeze a gateway": (context) => withGateway(context, freeze),
  "freeze a store": (context) => withStore(context, freeze),
  "stop a gateway as planned": (context) => withGateway(context, stopAsPlanned),
  "stop a store as planned": (context) => withStore(context, stopAsPlanned),
  "lose a disk": loseDisk,
  "tear the end of a log": (context) => withStore(context, appendTornRecord),
  "cut in silence": (context) => withProxy(context, (proxy) => proxy.dropAll()),
  "cut one way": (context) =>
    withProxy(context, ({ faults }) => {
      if (context.random.happens(50)) faults.dropToClient = true;
      else faults.dropToServer = true;
    }),
  "delay": (context) =>
    withProxy(context, ({ faults }) => {
      faults.delayMilliseconds = context.random.between(5, 300);
    }),
  "refuse connections": (context) =>
    withProxy(context, (proxy) => {
      proxy.faults.refuse = true;
      proxy.reset();
    }),
  "reset connections": (context) => {
    for (const proxy of context.site.proxies.values()) {
      if (context.random.happens(50)) proxy.reset();
    }
    return Promise.resolve();
  },
  "fill an upstream": (context) =>
    withUpstream(context, (faults, isOn) => faults.refusesRequests = isOn),
  "lose answers": (context) =>
    withUpstream(context, (faults, isOn) => faults.dropsAnswers = isOn),
  "cut streams": (context) =>
    withUpstream(
      context,
      (faults, isOn) =>
        faults.closesAfter = isOn ? context.random.between(0, 2) : Infinity,
    ),
  "slow streams": (context) =>
    withUpstream(
      context,
      (faults, isOn) => faults.eventIntervalMilliseconds = isOn ? 150 : 1,
    ),
  "list an upstream as leaving": async (context) => {
    const { id } = context.random.choose(context.upstreams);
    context.site.writeInstanceList([id]);
    await sleepForFault(context);
    context.site.writeInstanceList();
  },
};

/** Silences open connections of one daemon or upstream at a time, for good, until the soak is over. */
export async function silenceConnections(
  context: Pick<FaultContext, "site" | "random" | "records" | "sleep"> & {
    readonly isOver: () => boolean;
  },
): Promise<void> {
  const { site, random, records, isOver } = context;
  while (!isOver()) {
    await context.sleep(
      random.between(
        SILENCE_PAUSE_MILLISECONDS.least,
        SILENCE_PAUSE_MILLISECONDS.most,
      ),
    );
    if (isOver()) return;
    records.count("fault: silence open connections");
    random.choose([...site.proxies.values()]).silenceOpenConnections();
  }
}

/** Injects faults one after the other until the soak is over. */
export async function injectFaultSeries(
  context: FaultContext & {
    readonly isOver: () => boolean;
    readonly print: (line: string) => void;
  },
): Promise<void> {
  const { random, records, isOver, print } = context;
  while (!isOver()) {
    await context.sleep(
      random.between(PAUSE_MILLISECONDS.least, PAUSE_MILLISECONDS.most),
    );
    if (isOver()) return;
    const name = random.choose(Object.keys(GATEWAY_FAULTS));
    records.count(`fault: ${name}`);
    print(name);
    await GATEWAY_FAULTS[name]?.(context);
  }
}

async function sleepForFault(context: FaultContext): Promise<void> {
  await context.sleep(
    context.random.between(
      DURATION_MILLISECONDS.least,
      DURATION_MILLISECONDS.most,
    ),
  );
}

type DaemonFault = (daemon: SiteDaemon, context: FaultContext) => Promise<void>;

async function withGateway(
  context: FaultContext,
  fault: DaemonFault,
): Promise<void> {
  await withFreeDaemon(context, context.site.gateways, fault);
}

async function withStore(
  context: FaultContext,
  fault: DaemonFault,
): Promise<void> {
  await withFreeDaemon(context, context.site.stores, fault);
}

/** Injects a fault into a random daemon, unless another fault is using it. */
async function withFreeDaemon(
  context: FaultContext,
  daemons: readonly SiteDaemon[],
  fault: DaemonFault,
): Promise<void> {
  const { busyDaemons } = context.locks;
  const daemon = context.random.choose(daemons);
  if (busyDaemons.has(daemon.name)) return;
  busyDaemons.add(daemon.name);
  try {
    await fault(daemon, context);
  } finally {
    busyDaemons.delete(daemon.name);
  }
}

async function killAndRestart(
  daemon: SiteDaemon,
  context: FaultContext,
): Promise<void> {
  await context.site.kill(daemon);
  if (context.random.happens(50)) await sleepForFault(context);
  context.site.restart(daemon);
}

async function killAllStores(context: FaultContext): Promise<void> {
  const { busyDaemons } = context.locks;
  const stores = context.site.stores.filter(({ name }) =>
    !busyDaemons.has(name)
  );
  for (const { name } of stores) busyDaemons.add(name);
  for (const store of stores) await context.site.kill(store);
  await sleepForFault(context);
  for (const store of stores) {
    context.site.restart(store);
    busyDaemons.delete(store.name);
  }
}

async function freeze(
  daemon: SiteDaemon,
  context: FaultContext,
): Promise<void> {
  daemon.process.signal("SIGSTOP");
  await sleepForFault(context);
  daemon.process.signal("SIGCONT");
}

async function stopAsPlanned(
  daemon: SiteDaemon,
  context: FaultContext,
): Promise<void> {
  // A process cannot handle the stop signal before it has started.
  await context.site.waitUntilReachable(daemon, HEALTH_ANSWER_MILLISECONDS);
  const code = await daemon.process.stop();
  if (code !== 0) {
    context.records.fail(
      PROMISES.CLEAN_STOP,
      `${daemon.name} ended with ${code}`,
    );
  }
  context.site.restart(daemon);
}

/**
 * Deletes a store's disk, and waits until the store is ready again. Does nothing
 * while another series is in this fault.
 */
async function loseDisk(context: FaultContext): Promise<void> {
  const { locks, site, records } = context;
  if (locks.isDiskLost) return;
  locks.isDiskLost = true;
  await withStore(context, async (store) => {
    await site.kill(store, true);
    if (context.random.happens(50)) await sleepForFault(context);
    site.restart(store);
    const repaired = await site.waitUntilStoreReady(store, REPAIR_MILLISECONDS);
    if (!repaired) {
      records.fail(PROMISES.SERVED_AGAIN, `${store.name} did not join again`);
    }
  });
  locks.isDiskLost = false;
}

/** Appends a torn record to a log, as a power loss during a write leaves it. */
async function appendTornRecord(
  store: SiteDaemon,
  context: FaultContext,
): Promise<void> {
  await context.site.kill(store);
  const newest = readdirSync(store.dataFolder).filter((name) =>
    name.startsWith("log-")
  ).sort().at(-1);
  if (newest !== undefined) {
    const torn = Uint8Array.from(
      { length: context.random.between(1, 60) },
      () => context.random.between(0, 255),
    );
    appendFileSync(join(store.dataFolder, newest), torn);
  }
  context.site.restart(store);
}

async function withProxy(
  context: FaultContext,
  fault: (proxy: FaultProxy) => void,
): Promise<void> {
  const [name, proxy] = context.random.choose([...context.site.proxies]);
  if (context.locks.busyDaemons.has(name)) return;
  fault(proxy);
  await sleepForFault(context);
  proxy.heal();
}

type UpstreamFaults = SoakSite["upstreams"][number]["faults"];

async function withUpstream(
  context: FaultContext,
  setFault: (faults: UpstreamFaults, isOn: boolean) => void,
): Promise<void> {
  const { faults } = context.random.choose(context.upstreams);
  setFault(faults, true);
  await sleepForFault(context);
  setFault(faults, false);
}

/** Sleeps for a time in ms, or until the soak is over if that is earlier. */
export async function sleepUnlessOver(
  milliseconds: number,
  isOver: () => boolean,
): Promise<void> {
  const until = Date.now() + milliseconds;
  while (Date.now() < until && !isOver()) await sleep(20);
}
