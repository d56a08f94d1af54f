/** Load of a fake engine as it stood some time ago. */

/** Time beyond the lag for which samples are kept, ms: a few steps. */
const MARGIN_MILLISECONDS = 100;

/** Load at one moment. */
export interface LoadSample {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

/** Samples that are young enough to be reported. */
export class LoadSamples {
  readonly #lagMilliseconds: number;
  readonly #samples: LoadSample[] = [];

  constructor(lagMilliseconds: number) {
    this.#lagMilliseconds = lagMilliseconds;
  }

  /** Takes a sample. */
  add(sample: LoadSample): void {
    this.#samples.push(sample);
    const oldest = sample.at - this.#lagMilliseconds - MARGIN_MILLISECONDS;
    while (this.#samples.length > 1 && (this.#samples[0]?.at ?? 0) < oldest) {
      this.#samples.shift();
    }
  }

  /** The sample that is reported now. */
  find(now: number): LoadSample | undefined {
    const until = now - this.#lagMilliseconds;
    return this.#samples.findLast((known) => known.at <= until);
  }
}
