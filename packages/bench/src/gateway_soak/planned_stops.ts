/** Series of planned stops of gateways, and of kills that overlap with them. */

import type { GatewaySite, SiteDaemon } from "../gateways/gateway_site.ts";
import type { Random } from "../soak/random.ts";
import { type CallerRecords, PROMISES } from "./caller_records.ts";
import type { GatewayLives } from "./gateway_lives.ts";

/** Range of the pause between two stops or kills of one series, ms. */
const PAUSE_MILLISECONDS = { least: 200, most: 1_500 };
/** Range of the time from a stop signal to a further signal, ms. */
const SIGNAL_MILLISECONDS = { least: 20, most: 2_000 };
/** Range of the time for which a daemon stays down after a kill, ms. */
const DOWN_MILLISECONDS = { least: 50, most: 1_000 };
const MONITOR_MILLISECONDS = 50;
/** Longest wait for the first answer of a process about its health, ms. */
const HEALTH_ANSWER_MILLISECONDS = 10_000;

/** What the series need. */
export interface StopContext {
  readonly site: GatewaySite;
  readonly lives: GatewayLives;
  readonly random: Random;
  readonly records: CallerRecords;
  /** Names of the daemons that a series is stopping or starting. */
  readonly busyDaemons: Set<string>;
  readonly isOver: () => boolean;
  /** Sleeps for a time in ms, or until the soak is over if that is earlier. */
  readonly sleep: (milliseconds: number) => Promise<void>;
}

/** Stops one gateway after the other as planned, until the soak is over. */
export async function stopInSeries(context: StopContext): Promise<void> {
  const { site, random, isOver } = context;
  while (!isOver()) {
    await pause(context, PAUSE_MILLISECONDS);
    if (!isOver()) {
      await withDaemon(context, random.choose(site.gateways), stop);
    }
  }
}

/** Kills gateways and stores, one after the other, until the soak is over. */
export async function killInSeries(context: StopContext): Promise<void> {
  const { site, random, isOver } = context;
  while (!isOver()) {
    await pause(context, PAUSE_MILLISECONDS);
    const daemons = random.happens(50) ? site.gateways : site.stores;
    if (!isOver()) await withDaemon(context, random.choose(daemons), kill);
  }
}

/** Measures the gateways, and restarts those that have ended by themselves. */
export async function watchGateways(context: StopContext): Promise<void> {
  const { site, lives, records, busyDaemons, isOver } = context;
  while (!isOver()) {
    lives.measure();
    for (const gateway of site.gateways) {
      if (busyDaemons.has(gateway.name) || gateway.process.isRunning) continue;
      records.fail(PROMISES.STAYS_UP, `${gateway.name} has ended`);
      startAgain(gateway, context);
    }
    await context.sleep(MONITOR_MILLISECONDS);
  }
}

async function pause(
  context: StopContext,
  range: { readonly least: number; readonly most: number },
): Promise<void> {
  await context.sleep(context.random.between(range.least, range.most));
}

async function withDaemon(
  context: StopContext,
  daemon: SiteDaemon,
  act: (daemon: SiteDaemon, context: StopContext) => Promise<void>,
): Promise<void> {
  const { busyDaemons } = context;
  if (busyDaemons.has(daemon.name)) return;
  busyDaemons.add(daemon.name);
  try {
    await act(daemon, context);
    startAgain(daemon, context);
  } finally {
    busyDaemons.delete(daemon.name);
  }
}

function startAgain(daemon: SiteDaemon, context: StopContext): void {
  context.site.restart(daemon);
  if (context.site.gateways.includes(daemon)) context.lives.begin(daemon);
}

async function stop(daemon: SiteDaemon, context: StopContext): Promise<void> {
  const { site, lives, random, records } = context;
  // A process cannot handle the stop signal before it has started.
  await site.waitUntilReachable(daemon, HEALTH_ANSWER_MILLISECONDS);
  records.count("fault: stop a gateway as planned");
  lives.find(daemon).isStopping = true;
  const stopped = daemon.process.stop();
  const signals = [
    ...(random.happens(40) ? ["SIGTERM" as const] : []),
    ...(random.happens(40) ? ["SIGHUP" as const] : []),
  ];
  for (const signal of signals) {
    await Promise.race([stopped, pause(context, SIGNAL_MILLISECONDS)]);
    if (!daemon.process.isRunning) break;
    records.count(`fault: ${signal} amid a planned stop`);
    daemon.process.signal(signal);
  }
  const code = await stopped;
  if (code === 0) return;
  const after = signals.length === 0 ? "" : ` after ${signals.join(", ")}`;
  records.fail(
    PROMISES.CLEAN_STOP,
    `${daemon.name} ended with ${code}${after}`,
  );
}

async function kill(daemon: SiteDaemon, context: StopContext): Promise<void> {
  const { site, lives, records } = context;
  const isGateway = site.gateways.includes(daemon);
  records.count(`fault: kill a ${isGateway ? "gateway" : "store"}`);
  if (isGateway) lives.find(daemon).isKilled = true;
  await site.kill(daemon);
  await pause(context, DOWN_MILLISECONDS);
}
