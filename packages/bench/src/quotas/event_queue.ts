/** Event queue of a simulation. */

interface Scheduled {
  readonly at: number;
  readonly run: (now: number) => void;
}

/**
 * Runs events in the order of their time. Events with the same time run in the
 * order in which they were scheduled.
 *
 * @example
 * ```ts
 * const events = new EventQueue();
 * events.schedule(5, (now) => console.log(now));
 * events.runUntil(10); // prints 5
 * ```
 */
export class EventQueue {
  /** Sorted from the latest to the next event, so that `pop` returns the next one. */
  readonly #scheduled: Scheduled[] = [];

  /** Schedules an event at a time, ms. */
  schedule(at: number, run: (now: number) => void): void {
    let first = 0;
    let last = this.#scheduled.length;
    while (first < last) {
      const middle = (first + last) >> 1;
      if ((this.#scheduled[middle]?.at ?? 0) > at) first = middle + 1;
      else last = middle;
    }
    this.#scheduled.splice(first, 0, { at, run });
  }

  /** Runs all events up to a time, ms. */
  runUntil(until: number): void {
    while (true) {
      const next = this.#scheduled.at(-1);
      if (next === undefined || next.at > until) return;
      this.#scheduled.pop();
      next.run(next.at);
    }
  }
}
