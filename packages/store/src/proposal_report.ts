/** Tells how much a leader is asked, how much of it again, and for nobody. */

import type { Logger, Metrics } from "@mallowlift/core";

/** Time between two lines, ms. */
const SPAN_MILLISECONDS = 1_000;

/** What became of a command by the time that it was decided. */
export interface CommandEnd {
  readonly kind: string;
  /** From the proposal to the decision, ms. */
  readonly milliseconds: number;
  /** How often it was asked for while it was under way. */
  readonly asks: number;
  /** True if everybody who asked had given up before the answer. */
  readonly isUnheard: boolean;
}

/** Counts commands, and writes a line a second when any was repeated or unheard. */
export class ProposalReport {
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  #since = 0;
  #decided = 0;
  #repeated = 0;
  #unheard = 0;
  #slowest = 0;

  constructor(parts: { readonly logger: Logger; readonly metrics: Metrics }) {
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
  }

  /** Notes one command that was decided or lost. */
  note(end: CommandEnd, now: number): void {
    const { kind, asks, isUnheard } = end;
    this.#metrics.proposals.inc({ kind });
    this.#metrics.repeatedAsks.inc({ kind }, asks - 1);
    if (isUnheard) this.#metrics.unheardAnswers.inc({ kind });
    this.#decided++;
    this.#repeated += asks - 1;
    if (isUnheard) this.#unheard++;
    this.#slowest = Math.max(this.#slowest, end.milliseconds);
    if (now - this.#since >= SPAN_MILLISECONDS) this.#write(now);
  }

  #write(now: number): void {
    const isNotable = this.#repeated > 0 || this.#unheard > 0;
    if (isNotable) {
      this.#logger.info("Commands asked again", {
        decided: this.#decided,
        repeated: this.#repeated,
        unheard: this.#unheard,
        slowest_ms: Math.round(this.#slowest),
        span_ms: Math.round(now - this.#since),
      });
    }
    this.#since = now;
    this.#decided = 0;
    this.#repeated = 0;
    this.#unheard = 0;
    this.#slowest = 0;
  }
}
