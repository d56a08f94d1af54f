/** Recent load of a fake engine, which is reported with a delay. */

/**
 * Time beyond the lag for which samples are kept, ms. A few steps long, so that
 * an engine that keeps stepping still has a sample older than the lag.
 */
const MARGIN_MILLISECONDS = 100;

/** Load at one point in time. */
export interface LoadSample {
  /** Time of the sample, ms since the epoch. */
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

/** Keeps the samples that can still be reported. */
export class LoadSamples {
  readonly #lagMilliseconds: number;
  readonly #samples: LoadSample[] = [];

  constructor(lagMilliseconds: number) {
    this.#lagMilliseconds = lagMilliseconds;
  }

  /** Adds a sample and drops those that are too old to be reported. */
  add(sample: LoadSample): void {
    this.#samples.push(sample);
    const oldest = sample.at - this.#lagMilliseconds - MARGIN_MILLISECONDS;
    while (this.#samples.length > 1 && (this.#samples[0]?.at ?? 0) < oldest) {
      this.#samples.shift();
    }
  }

  /** Returns the newest sample that is at least as old as the lag. */
  find(now: number): LoadSample | undefined {
    const newestReported = now - this.#lagMilliseconds;
    return this.#samples.findLast((known) => known.at <= newestReported);
  }
}
