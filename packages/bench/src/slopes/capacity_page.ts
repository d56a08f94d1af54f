/** `npm run capacity`: writes docs/CAPACITY.md from the recorded samples. */

import { readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { SLOPES_PATH } from "./bench_slopes.ts";
import {
  BUDGET,
  type CapacityRow,
  createRows,
  findIdle,
  type Measure,
  MEASURES,
  REPLICA_LIMITS,
  TARGET,
} from "./capacity_model.ts";
import type { DimensionResult } from "./dimensions.ts";
import {
  CAPACITY_ASSUMPTIONS,
  CAPACITY_EVENTS,
  CAPACITY_INTRODUCTION,
  CAPACITY_SWEEPS,
  MECHANISMS,
} from "./capacity_texts.ts";

const PAGE_PATH = resolve("docs", "CAPACITY.md");

const UNITS: Readonly<Record<Measure, string>> = {
  corePercent: "% of a core",
  residentMebibytes: "MiB",
  kilobytesPerSecond: "KB/s",
};

/** Dimensions that count as control, unlike calls. */
const CONTROL_DIMENSIONS = ["followers", "sidecars", "resources", "groups"];

interface Page {
  readonly dimensions: readonly DimensionResult[];
  readonly lines: string[];
}

/** Returns the text of the page. */
export function createCapacityPage(
  dimensions: readonly DimensionResult[],
): string {
  const page: Page = { dimensions, lines: [CAPACITY_INTRODUCTION] };
  addControlTable(page);
  addReplicaTable(page);
  addInForce(page);
  addMeasurements(page);
  page.lines.push(CAPACITY_ASSUMPTIONS, CAPACITY_EVENTS, CAPACITY_SWEEPS);
  return page.lines.join("\n");
}

/** Compares the resources that entries and sidecars use for control with their budget. */
function addControlTable(page: Page): void {
  page.lines.push(
    "## Control at each entry and sidecar",
    "",
    "| role | measure | idle, measured | at the target, extrapolated | budget | verdict |",
    "| --- | --- | --- | --- | --- | --- |",
  );
  for (const part of ["entry", "sidecar"]) {
    for (const measure of MEASURES) {
      const idle = findIdle(page.dimensions, part, measure);
      const rows = createRows(page.dimensions, part, measure)
        .filter((row) => CONTROL_DIMENSIONS.includes(row.dimension));
      const added = rows.reduce((sum, row) => sum + Math.max(0, row.value), 0);
      const error = rows.reduce((sum, row) => sum + row.error, 0);
      const total = idle + added;
      const verdict = total <= BUDGET[measure] ? "within" : "**missing**";
      page.lines.push(
        `| ${part} | ${UNITS[measure]} | ${format(idle)} | ` +
          `${format(total)} ± ${format(error)} | ${
            BUDGET[measure]
          } | ${verdict} |`,
      );
    }
  }
  page.lines.push("");
}

/** Lists the use of a replica on a dedicated instance by dimension. */
function addReplicaTable(page: Page): void {
  page.lines.push(
    "## Shares of a replica at the target",
    "",
    "One replica is one process with one busy core. Each share is slope times",
    "target size; the error is the standard error of the slope. A share is missing",
    "if it alone takes more than one core, 8 GiB or 100 MB/s (assumed limits).",
    "",
    "| share | target size | measured up to | % of a core | MiB | KB/s | verdict | carried by |",
    "| --- | --- | --- | --- | --- | --- | --- | --- |",
  );
  for (const { dimension, unit } of page.dimensions) {
    const part = dimension === "followers" || dimension === "sidecars"
      ? "configuration leader"
      : "replica";
    const rows = MEASURES.map((measure) =>
      createRows(page.dimensions, part, measure).find((row) =>
        row.dimension === dimension
      )
    );
    const [first] = rows;
    if (first === undefined) continue;
    const cells = rows.map((row) => row === undefined ? "" : formatShare(row));
    const isMissing = rows.some((row) =>
      row !== undefined && row.value > REPLICA_LIMITS[row.measure]
    );
    const verdict = isMissing ? "**missing**" : "within";
    page.lines.push(
      `| ${unit} | ${format(first.targetSize)} | ${
        format(first.measuredSize)
      } | ` +
        `${cells.join(" | ")} | ${verdict} | ${MECHANISMS[dimension] ?? ""} |`,
    );
  }
  page.lines.push("");
}

function addInForce(page: Page): void {
  const followers = page.dimensions.find((known) =>
    known.dimension === "followers"
  );
  page.lines.push(
    "## A change in force everywhere",
    "",
    "Measured: time from the accepted change until every follower had it, on one",
    `machine without the distance between regions. The budget is ${BUDGET.inForceMilliseconds} ms.`,
    "",
    "| followers | ms |",
    "| --- | --- |",
  );
  for (const { size, inForceMilliseconds } of followers?.sizes ?? []) {
    if (inForceMilliseconds !== undefined) {
      page.lines.push(`| ${size} | ${format(inForceMilliseconds)} |`);
    }
  }
  page.lines.push("");
}

function addMeasurements(page: Page): void {
  page.lines.push("## What was measured", "");
  for (const { unit, sizes } of page.dimensions) {
    page.lines.push(
      `### By ${unit}`,
      "",
      "| size | part | % of a core | MiB | KB/s |",
      "| --- | --- | --- | --- | --- |",
    );
    for (const { size, samples } of sizes) {
      for (const sample of samples) {
        const cells = MEASURES.map((measure) => format(sample[measure]));
        page.lines.push(`| ${size} | ${sample.name} | ${cells.join(" | ")} |`);
      }
    }
    page.lines.push("");
  }
}

function formatShare(row: CapacityRow): string {
  const isNoise = Math.abs(row.line.slope) <= row.line.slopeError;
  const text = `${format(row.value)} ± ${format(row.error)}`;
  return isNoise ? `${text} (noise)` : text;
}

function format(value: number): string {
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : 2;
  return value.toFixed(digits);
}

function main(): void {
  const recorded = JSON.parse(readFileSync(SLOPES_PATH, "utf8")) as {
    readonly dimensions: readonly DimensionResult[];
  };
  writeFileSync(PAGE_PATH, createCapacityPage(recorded.dimensions));
  process.stdout.write(`Wrote ${PAGE_PATH} for ${TARGET.daemons} daemons\n`);
}

if (require.main === module) main();
