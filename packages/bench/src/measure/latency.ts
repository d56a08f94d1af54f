/** Latencies in a histogram. */

import { build, type Histogram } from "hdr-histogram-js";

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Collects latencies. */
export class LatencyRecorder {
  readonly #histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

  /** Adds one latency. */
  add(milliseconds: number): void {
    const value = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    this.#histogram.recordValue(Math.max(1, value));
  }

  /** Returns the percentiles so far. */
  summarize(): LatencySummary {
    return {
      count: this.#histogram.totalCount,
      p50: this.#find(50),
      p95: this.#find(95),
      p99: this.#find(99),
    };
  }

  #find(percentile: number): number {
    const value = this.#histogram.getValueAtPercentile(percentile);
    return Math.round(value / 10) / 100;
  }
}
