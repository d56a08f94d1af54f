/** Measures the processor time, memory and traffic of daemons of a site. */

import { sleep } from "@mallowlift/core";
import { readUsage } from "../measure/process_usage.ts";
import type { Site } from "../site/site.ts";

const BYTES_PER_KILOBYTE = 1_000;

/** Resource use of one daemon over the duration of a sample. */
export interface DaemonSample {
  readonly name: string;
  readonly corePercent: number;
  readonly residentMebibytes: number;
  /** Traffic with other daemons in both directions, in kB a second. */
  readonly kilobytesPerSecond: number;
}

interface Reading {
  readonly processorSeconds: number;
  readonly residentMebibytes: number;
  readonly bytes: number;
  readonly at: number;
}

/** Measures the named daemons for the given number of seconds. */
export async function sampleDaemons(
  site: Site,
  names: readonly string[],
  seconds: number,
): Promise<readonly DaemonSample[]> {
  const before = await Promise.all(names.map((name) => readDaemon(site, name)));
  await sleep(seconds * 1_000);
  const after = await Promise.all(names.map((name) => readDaemon(site, name)));
  return names.map((name, position) =>
    compareReadings(name, before[position], after[position])
  );
}

/** Averages the samples of daemons with the same role. */
export function averageSamples(
  name: string,
  samples: readonly DaemonSample[],
): DaemonSample {
  const average = (read: (sample: DaemonSample) => number) =>
    samples.reduce((sum, sample) => sum + read(sample), 0) / samples.length;
  return {
    name,
    corePercent: average((sample) => sample.corePercent),
    residentMebibytes: average((sample) => sample.residentMebibytes),
    kilobytesPerSecond: average((sample) => sample.kilobytesPerSecond),
  };
}

async function readDaemon(site: Site, name: string): Promise<Reading> {
  const usage = readUsage(site.get(name).process.pid ?? 0);
  const metrics = await site.readMetrics(name);
  let bytes = 0;
  for (
    const match of metrics.matchAll(
      /^mallowlift_peer_bytes_total\{[^}]*\} (\S+)$/gm,
    )
  ) {
    bytes += Number(match[1]);
  }
  return {
    processorSeconds: usage?.processorSeconds ?? 0,
    residentMebibytes: usage?.residentMebibytes ?? 0,
    bytes,
    at: performance.now(),
  };
}

function compareReadings(
  name: string,
  before: Reading | undefined,
  after: Reading | undefined,
): DaemonSample {
  if (before === undefined || after === undefined) {
    throw new Error(`No reading of ${name}`);
  }
  const seconds = (after.at - before.at) / 1_000;
  const used = after.processorSeconds - before.processorSeconds;
  return {
    name,
    corePercent: (used / seconds) * 100,
    residentMebibytes: after.residentMebibytes,
    kilobytesPerSecond: (after.bytes - before.bytes) / BYTES_PER_KILOBYTE /
      seconds,
  };
}
