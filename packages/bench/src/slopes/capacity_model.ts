/** What each role needs at the two-year target, from the recorded slopes. */

import type { DaemonSample } from "./daemon_sample.ts";
import type { DimensionResult } from "./dimensions.ts";
import { fitLine, type FittedLine } from "./fit_line.ts";

/** Sizes of the two-year target, and what had to be assumed of them. */
export const TARGET = {
  daemons: 390,
  servers: 600,
  callsPerSecond: 3_600,
  tokensPerSecond: 1_000_000,
  programs: 37_000,
  historyTokens: 230_000,
  bytesPerToken: 4,
  /** Assumed: share of the longest history that a program has on average. */
  meanHistoryShare: 0.2,
  /** Assumed: one resource for each workspace, server and model. */
  resources: 12_000 + 600 + 22,
  /** Assumed: program groups that are led evenly by three replicas. */
  programGroups: 12,
} as const;

/** What a daemon may spend on control. */
export const BUDGET = {
  corePercent: 2.5,
  residentMebibytes: 256,
  kilobytesPerSecond: 9,
  inForceMilliseconds: 11_000,
} as const;

/** Assumed: what one replica on an instance set aside may take. */
export const REPLICA_LIMITS = {
  corePercent: 100,
  residentMebibytes: 8_192,
  kilobytesPerSecond: 100_000,
} as const;

/** What is measured of a daemon. */
export const MEASURES = [
  "corePercent",
  "residentMebibytes",
  "kilobytesPerSecond",
] as const;

/** One of {@linkcode MEASURES}. */
export type Measure = typeof MEASURES[number];

/** One share of one part's need. */
export interface CapacityRow {
  readonly part: string;
  readonly measure: Measure;
  readonly dimension: string;
  readonly targetSize: number;
  /** Largest size that was measured. */
  readonly measuredSize: number;
  readonly line: FittedLine;
  /** Slope times target size. */
  readonly value: number;
  readonly error: number;
}

/** Size of each dimension at the target, for one daemon of a part. */
const TARGET_SIZES: Readonly<Record<string, number>> = {
  followers: TARGET.daemons,
  sidecars: TARGET.daemons,
  resources: TARGET.resources,
  programs: TARGET.programs,
  history: (TARGET.programs * TARGET.historyTokens * TARGET.bytesPerToken *
    TARGET.meanHistoryShare) / 1_000_000,
  calls: TARGET.callsPerSecond,
  groups: TARGET.programGroups,
};

/** An entry or a sidecar carries only its share of the calls. */
const SHARED_PARTS = ["entry", "sidecar"];

/** Returns the size of a dimension at the target, as one part sees it. */
export function findTargetSize(part: string, dimension: string): number {
  const size = TARGET_SIZES[dimension] ?? 0;
  const isShared = dimension === "calls" && SHARED_PARTS.includes(part);
  return isShared ? size / TARGET.daemons : size;
}

/** Works out every share of one part and measure. */
export function createRows(
  dimensions: readonly DimensionResult[],
  part: string,
  measure: Measure,
): readonly CapacityRow[] {
  const rows: CapacityRow[] = [];
  for (const { dimension, sizes } of dimensions) {
    const points = sizes.map((known) => ({
      size: known.size,
      value: findSample(known.samples, part)[measure],
    }));
    const line = fitLine(points);
    const targetSize = findTargetSize(part, dimension);
    rows.push({
      part,
      measure,
      dimension,
      targetSize,
      measuredSize: Math.max(...points.map((point) => point.size)),
      line,
      value: line.slope * targetSize,
      error: line.slopeError * targetSize,
    });
  }
  return rows;
}

/** What a daemon of a part needs with nothing to do, from the smallest sizes. */
export function findIdle(
  dimensions: readonly DimensionResult[],
  part: string,
  measure: Measure,
): number {
  const idle = dimensions.filter((known) => known.sizes[0]?.size === 0)
    .map((known) => findSample(known.sizes[0]?.samples ?? [], part)[measure]);
  return idle.reduce((sum, value) => sum + value, 0) / idle.length;
}

function findSample(
  samples: readonly DaemonSample[],
  part: string,
): DaemonSample {
  const sample = samples.find((known) => known.name === part);
  if (sample === undefined) {
    throw new Error(`The results have no sample of ${part}`);
  }
  return sample;
}
