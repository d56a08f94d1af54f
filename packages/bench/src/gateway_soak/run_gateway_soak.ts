/** Injects faults into a running site of gateways and checks every promise. */

import { mkdirSync, rmSync } from "node:fs";
import { sleep } from "@mallowlift/core";
import { Random } from "../soak/random.ts";
import {
  CallerRecords,
  PROMISES,
  type PromiseViolation,
} from "./caller_records.ts";
import { DocumentOperators } from "./document_operator.ts";
import {
  FaultLocks,
  injectFaultSeries,
  silenceConnections,
  sleepUnlessOver,
} from "./gateway_faults.ts";
import { GuestCaller } from "./guest_caller.ts";
import { ProgramCaller } from "./program_caller.ts";
import {
  type SoakSite,
  type SoakSize,
  startSoakSite,
  stopSoakSite,
} from "./soak_site.ts";
import {
  GUEST_QUOTA,
  GUEST_WORKSPACE,
  WINDOW_SECONDS,
} from "./soak_workspaces.ts";

/** Number of concurrent series of faults. */
const FAULT_SERIES = 3;
/** Time within which the site must serve again after the faults, ms. */
const RECOVERY_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 100;
/** Random streams per seed, so that two seeds never share a stream. */
const STREAMS_PER_SEED = 1_000;

/** Seed, duration and load of a soak. */
export interface GatewaySoakPlan {
  readonly seed: number;
  /** Time for which faults are injected, s. */
  readonly seconds: number;
  /** Number of program callers. */
  readonly callers: number;
  readonly size: SoakSize;
  /** Folder of the site's data; it is deleted first. */
  readonly folder: string;
  /** Called with the name of each fault. */
  readonly print: (line: string) => void;
}

/** Result of a soak. */
export interface GatewaySoakResult {
  /** Number of calls that were sent. */
  readonly calls: number;
  readonly counts: ReadonlyMap<string, number>;
  readonly broken: readonly PromiseViolation[];
}

/**
 * Runs a soak of gateways.
 *
 * @example
 * ```ts
 * const { broken } = await runGatewaySoak({ seed: 1, seconds: 20, ...plan });
 * ```
 */
export async function runGatewaySoak(
  plan: GatewaySoakPlan,
): Promise<GatewaySoakResult> {
  rmSync(plan.folder, { recursive: true, force: true });
  mkdirSync(plan.folder, { recursive: true });
  const startedAt = Date.now();
  const soakSite = await startSoakSite(plan.folder, plan.size);
  const records = new CallerRecords();
  try {
    await runLoad(plan, soakSite, records);
  } finally {
    await stopSoakSite(soakSite);
  }
  records.checkRuns(soakSite.upstreams);
  const { ratePerSecond, burst } = GUEST_QUOTA;
  const windows = 1 + (Date.now() - startedAt) / (WINDOW_SECONDS * 1_000);
  const maxRuns = Math.ceil(windows) * (ratePerSecond * WINDOW_SECONDS + burst);
  records.checkQuota(soakSite.upstreams, {
    workspace: GUEST_WORKSPACE,
    maxRuns,
  });
  const { size: calls, counts, broken } = records;
  return { calls, counts, broken };
}

async function runLoad(
  plan: GatewaySoakPlan,
  soakSite: SoakSite,
  records: CallerRecords,
): Promise<void> {
  const { site } = soakSite;
  const endsAt = Date.now() + plan.seconds * 1_000;
  const isOver = () => Date.now() >= endsAt;
  let stream = plan.seed * STREAMS_PER_SEED;
  const createRandom = () => new Random(stream++);
  // Streams from the end of the seed: taking the next ones instead would change the
  // random choices of the faults for every seed.
  const createLastRandom = (number: number) =>
    new Random((plan.seed + 1) * STREAMS_PER_SEED - number);
  const callers: Promise<void>[] = [];
  for (let number = 0; number < plan.callers; number++) {
    const caller = new ProgramCaller({
      name: `caller${number}`,
      site,
      random: createRandom(),
      records,
      isOver,
    });
    callers.push(caller.run());
  }
  const operators = new DocumentOperators({
    site,
    random: createRandom(),
    records,
    isOver,
  });
  const operatorsRun = operators.run();
  const guest = new GuestCaller({
    name: "guest",
    site,
    random: createLastRandom(1),
    records,
    isOver,
    getVersion: () => operators.version,
  });
  callers.push(guest.run());
  const locks = new FaultLocks();
  const series = Array.from({ length: FAULT_SERIES }, () =>
    injectFaultSeries({
      ...soakSite,
      random: createRandom(),
      records,
      locks,
      sleep: (milliseconds) => sleepUnlessOver(milliseconds, isOver),
      isOver,
      print: plan.print,
    }));
  const silences = silenceConnections({
    site,
    random: createLastRandom(2),
    records,
    sleep: (milliseconds) => sleepUnlessOver(milliseconds, isOver),
    isOver,
  });
  await Promise.all([...series, silences, ...callers, operatorsRun]);
  await checkServedAgain({
    parts: soakSite,
    records,
    operators,
    random: createRandom(),
  });
}

/**
 * Checks that within the limit programs and operators are served again and all
 * daemons are ready.
 */
async function checkServedAgain(options: {
  readonly parts: SoakSite;
  readonly records: CallerRecords;
  readonly operators: DocumentOperators;
  readonly random: Random;
}): Promise<void> {
  const { parts: soakSite, records, operators, random } = options;
  for (const daemon of soakSite.site.daemons) {
    if (!daemon.process.isRunning) soakSite.site.restart(daemon);
  }
  const caller = new ProgramCaller({
    name: "probe",
    site: soakSite.site,
    random,
    records,
    isOver: () => false,
  });
  const until = Date.now() + RECOVERY_MILLISECONDS;
  let isTurnServed = false;
  let isDocumentRead = false;
  let notReady: readonly string[] = [];
  while (Date.now() < until) {
    isTurnServed = await caller.requestFirstTurn() || isTurnServed;
    isDocumentRead = await operators.check() || isDocumentRead;
    notReady = await listNotReady(soakSite);
    if (isTurnServed && isDocumentRead && notReady.length === 0) return;
    await sleep(POLL_MILLISECONDS);
  }
  records.fail(
    PROMISES.SERVED_AGAIN,
    `turn served: ${isTurnServed}, document read: ${isDocumentRead}, ` +
      `not ready: ${notReady.join(", ")}`,
  );
}

async function listNotReady(soakSite: SoakSite): Promise<readonly string[]> {
  const names: string[] = [];
  for (const daemon of soakSite.site.daemons) {
    if (!await soakSite.site.isReady(daemon)) names.push(daemon.name);
  }
  return names;
}
