/** Records latencies in a histogram. */

import { build, type Histogram } from "hdr-histogram-js";

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Number of latencies and their percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Collects latencies and computes their percentiles. */
export class LatencyRecorder {
  readonly #histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

  /** Adds a latency, ms. */
  add(milliseconds: number): void {
    const value = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    this.#histogram.recordValue(Math.max(1, value));
  }

  /** Returns the count and percentiles of the latencies so far. */
  summarize(): LatencySummary {
    return {
      count: this.#histogram.totalCount,
      p50: this.#findPercentile(50),
      p95: this.#findPercentile(95),
      p99: this.#findPercentile(99),
    };
  }

  #findPercentile(percentile: number): number {
    const value = this.#histogram.getValueAtPercentile(percentile);
    return Math.round(value / 10) / 100;
  }
}
