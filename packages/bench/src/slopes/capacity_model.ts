/** Extrapolates the resource use of each role at the two-year target from measured slopes. */

import type { DaemonSample } from "./daemon_sample.ts";
import type { DimensionResult } from "./dimensions.ts";
import { fitLine, type FittedLine } from "./fit_line.ts";

/** Sizes at the two-year target; assumed sizes are marked. */
export const TARGET = {
  daemons: 390,
  servers: 600,
  callsPerSecond: 3_600,
  tokensPerSecond: 1_000_000,
  programs: 37_000,
  historyTokens: 230_000,
  bytesPerToken: 4,
  /** Assumed: mean length of a history as a share of the longest. */
  meanHistoryShare: 0.2,
  /** Assumed: one resource per workspace, server and model. */
  resources: 12_000 + 600 + 22,
  /** Assumed: number of program groups; three replicas lead equal numbers of them. */
  programGroups: 12,
} as const;

/** Upper bounds of what one daemon may use for control. */
export const BUDGET = {
  corePercent: 2.5,
  residentMebibytes: 256,
  kilobytesPerSecond: 9,
  inForceMilliseconds: 11_000,
} as const;

/** Assumed: upper bounds for one replica on a dedicated instance. */
export const REPLICA_LIMITS = {
  corePercent: 100,
  residentMebibytes: 8_192,
  kilobytesPerSecond: 100_000,
} as const;

/** Names of the measured quantities of a daemon. */
export const MEASURES = [
  "corePercent",
  "residentMebibytes",
  "kilobytesPerSecond",
] as const;

/** One of {@linkcode MEASURES}. */
export type Measure = typeof MEASURES[number];

/** Extrapolated value of one measure for one part: the share that one dimension causes. */
export interface CapacityRow {
  readonly part: string;
  readonly measure: Measure;
  readonly dimension: string;
  readonly targetSize: number;
  /** Largest size that was measured. */
  readonly measuredSize: number;
  readonly line: FittedLine;
  /** The slope multiplied by the target size. */
  readonly value: number;
  /** Standard error of the slope multiplied by the target size. */
  readonly error: number;
}

/** Size of each dimension at the target, for the whole site. */
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

/** Parts of which each daemon handles an equal share of all calls. */
const SHARED_PARTS = ["entry", "sidecar"];

/** Returns the size of a dimension at the target for one daemon of a part. */
export function findTargetSize(part: string, dimension: string): number {
  const size = TARGET_SIZES[dimension] ?? 0;
  const isShared = dimension === "calls" && SHARED_PARTS.includes(part);
  return isShared ? size / TARGET.daemons : size;
}

/** Extrapolates one measure of one part over every dimension. */
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

/** Returns the mean use of an idle daemon of a part: the samples at size 0. */
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
    throw new Error(`The results lack a sample of ${part}`);
  }
  return sample;
}
