/** Faults for a site of gateways, in series that overlap. */

import { appendFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "@mallowlift/core";
import type { FaultProxy } from "@mallowlift/mocks";
import type { SiteDaemon } from "../gateways/gateway_site.ts";
import type { Random } from "../soak/random.ts";
import { type CallerRecords, PROMISES } from "./caller_records.ts";
import type { SoakSite } from "./soak_site.ts";

/** Pause between two faults of one series, ms. */
const PAUSE = { least: 200, most: 1_200 };
/** How long a fault lasts, ms. */
const LENGTH = { least: 200, most: 4_000 };
/** Longest wait for a store whose disk was lost to count again, ms. */
const REPAIR_MILLISECONDS = 60_000;

/** Longest wait for the first word of a process, ms. */
const HEARD_MILLISECONDS = 10_000;

interface FaultParts extends SoakSite {
  readonly random: Random;
  readonly records: CallerRecords;
  readonly locks: FaultLocks;
  /** Waits, but no longer than the soak lasts. */
  readonly rest: (milliseconds: number) => Promise<void>;
}

/** What at most one series may do at a time. */
export class FaultLocks {
  /** Daemons that another fault works on. */
  readonly busy = new Set<string>();
  /** True while a lost disk has not been repaired: one is to be borne. */
  isDiskLost = false;
}

type Fault = (parts: FaultParts) => Promise<void>;

/** Every kind of fault, by name. */
export const GATEWAY_FAULTS: Readonly<Record<string, Fault>> = {
  "kill a gateway": (parts) => withGateway(parts, killAndStart),
  "kill a store": (parts) => withStore(parts, killAndStart),
  "kill all stores": killAllStores,
  "freeze a gateway": (parts) => withGateway(parts, freeze),
  "freeze a store": (parts) => withStore(parts, freeze),
  "stop a gateway as planned": (parts) => withGateway(parts, stopAsPlanned),
  "stop a store as planned": (parts) => withStore(parts, stopAsPlanned),
  "lose a disk": loseDisk,
  "tear the end of a log": (parts) => withStore(parts, tearLog),
  "cut in silence": (parts) => withProxy(parts, (proxy) => proxy.cut()),
  "cut one way": (parts) =>
    withProxy(parts, ({ faults }) => {
      if (parts.random.happens(50)) faults.dropToClient = true;
      else faults.dropToServer = true;
    }),
  "delay": (parts) =>
    withProxy(parts, ({ faults }) => {
      faults.delayMilliseconds = parts.random.between(5, 300);
    }),
  "refuse connections": (parts) =>
    withProxy(parts, (proxy) => {
      proxy.faults.refuse = true;
      proxy.reset();
    }),
  "reset connections": (parts) => {
    for (const proxy of parts.site.proxies.values()) {
      if (parts.random.happens(50)) proxy.reset();
    }
    return Promise.resolve();
  },
  "fill an upstream": (parts) =>
    withUpstream(parts, (faults, on) => faults.isFull = on),
  "lose answers": (parts) =>
    withUpstream(parts, (faults, on) => faults.losesAnswers = on),
  "cut streams": (parts) =>
    withUpstream(
      parts,
      (faults, on) =>
        faults.cutsAfter = on ? parts.random.between(0, 2) : Infinity,
    ),
  "slow streams": (parts) =>
    withUpstream(
      parts,
      (faults, on) => faults.pauseMilliseconds = on ? 150 : 1,
    ),
  "list an upstream as leaving": async (parts) => {
    const { id } = parts.random.choose(parts.upstreams);
    parts.site.listUpstreams([id]);
    await rest(parts);
    parts.site.listUpstreams();
  },
};

/** Injects one series of faults until the soak is over. */
export async function injectSeries(
  parts: FaultParts & {
    readonly isOver: () => boolean;
    readonly print: (line: string) => void;
  },
): Promise<void> {
  const { random, records, isOver, print } = parts;
  while (!isOver()) {
    await parts.rest(random.between(PAUSE.least, PAUSE.most));
    if (isOver()) return;
    const name = random.choose(Object.keys(GATEWAY_FAULTS));
    records.count(`fault: ${name}`);
    print(name);
    await GATEWAY_FAULTS[name]?.(parts);
  }
}

async function rest(parts: FaultParts): Promise<void> {
  await parts.rest(parts.random.between(LENGTH.least, LENGTH.most));
}

type DaemonFault = (daemon: SiteDaemon, parts: FaultParts) => Promise<void>;

async function withGateway(
  parts: FaultParts,
  fault: DaemonFault,
): Promise<void> {
  await withOne(parts, parts.site.gateways, fault);
}

async function withStore(
  parts: FaultParts,
  fault: DaemonFault,
): Promise<void> {
  await withOne(parts, parts.site.stores, fault);
}

/** Works on a daemon that no other fault works on. */
async function withOne(
  parts: FaultParts,
  daemons: readonly SiteDaemon[],
  fault: DaemonFault,
): Promise<void> {
  const { busy } = parts.locks;
  const daemon = parts.random.choose(daemons);
  if (busy.has(daemon.name)) return;
  busy.add(daemon.name);
  try {
    await fault(daemon, parts);
  } finally {
    busy.delete(daemon.name);
  }
}

async function killAndStart(
  daemon: SiteDaemon,
  parts: FaultParts,
): Promise<void> {
  await parts.site.kill(daemon);
  if (parts.random.happens(50)) await rest(parts);
  parts.site.restart(daemon);
}

async function killAllStores(parts: FaultParts): Promise<void> {
  const { busy } = parts.locks;
  const stores = parts.site.stores.filter(({ name }) => !busy.has(name));
  for (const { name } of stores) busy.add(name);
  for (const store of stores) await parts.site.kill(store);
  await rest(parts);
  for (const store of stores) {
    parts.site.restart(store);
    busy.delete(store.name);
  }
}

async function freeze(daemon: SiteDaemon, parts: FaultParts): Promise<void> {
  daemon.process.signal("SIGSTOP");
  await rest(parts);
  daemon.process.signal("SIGCONT");
}

async function stopAsPlanned(
  daemon: SiteDaemon,
  parts: FaultParts,
): Promise<void> {
  // Nobody can hear an order before the process has taken its first steps.
  await parts.site.waitUntilHeard(daemon, HEARD_MILLISECONDS);
  const code = await daemon.process.stop();
  if (code !== 0) {
    parts.records.violate(PROMISES.STOP, `${daemon.name} ended with ${code}`);
  }
  parts.site.restart(daemon);
}

/** Loses a disk; the next one only after the store counts again. */
async function loseDisk(parts: FaultParts): Promise<void> {
  const { locks, site, records } = parts;
  if (locks.isDiskLost) return;
  locks.isDiskLost = true;
  await withStore(parts, async (store) => {
    await site.kill(store, true);
    if (parts.random.happens(50)) await rest(parts);
    site.restart(store);
    const repaired = await site.waitUntilCounts(store, REPAIR_MILLISECONDS);
    if (!repaired) {
      records.violate(PROMISES.SERVED, `${store.name} did not join again`);
    }
  });
  locks.isDiskLost = false;
}

/** Leaves a part of a record behind, as power lost amid a write does. */
async function tearLog(store: SiteDaemon, parts: FaultParts): Promise<void> {
  await parts.site.kill(store);
  const newest = readdirSync(store.dataFolder).filter((name) =>
    name.startsWith("log-")
  ).sort().at(-1);
  if (newest !== undefined) {
    const torn = Uint8Array.from(
      { length: parts.random.between(1, 60) },
      () => parts.random.between(0, 255),
    );
    appendFileSync(join(store.dataFolder, newest), torn);
  }
  parts.site.restart(store);
}

async function withProxy(
  parts: FaultParts,
  fault: (proxy: FaultProxy) => void,
): Promise<void> {
  const [name, proxy] = parts.random.choose([...parts.site.proxies]);
  if (parts.locks.busy.has(name)) return;
  fault(proxy);
  await rest(parts);
  proxy.heal();
}

type UpstreamFaults = SoakSite["upstreams"][number]["faults"];

async function withUpstream(
  parts: FaultParts,
  change: (faults: UpstreamFaults, isOn: boolean) => void,
): Promise<void> {
  const { faults } = parts.random.choose(parts.upstreams);
  change(faults, true);
  await rest(parts);
  change(faults, false);
}

/** Sleeps until the time is over or the soak is, whichever comes first. */
export async function restAtMost(
  milliseconds: number,
  isOver: () => boolean,
): Promise<void> {
  const until = Date.now() + milliseconds;
  while (Date.now() < until && !isOver()) await sleep(20);
}
