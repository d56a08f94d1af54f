/** Logs once a second how turns fared in the line of a service. */

import type { Logger } from "@mallowlift/core";
import type { ServiceRoom, TurnDemand } from "@mallowlift/scheduling";

interface PriorityCounts {
  started: number;
  waited: number;
  waitMilliseconds: number;
  refused: number;
  refusedFirst: number;
}

/**
 * Counts what happens to the turns of one service.
 *
 * @example
 * ```ts
 * report.recordStart(demand, 12);
 * report.write({ service: "engines", room, waiting: 3 });
 * ```
 */
export class LineReport {
  readonly #logger: Logger;
  readonly #counts = new Map<number, PriorityCounts>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Records a turn that starts after a wait, ms. */
  recordStart({ priority }: TurnDemand, waitMilliseconds: number): void {
    const counts = this.#find(priority);
    counts.started++;
    if (waitMilliseconds === 0) return;
    counts.waited++;
    counts.waitMilliseconds += waitMilliseconds;
  }

  /** Records a turn that is refused. */
  recordRefusal({ priority, isStarted }: TurnDemand): void {
    const counts = this.#find(priority);
    counts.refused++;
    if (!isStarted) counts.refusedFirst++;
  }

  /** Logs the counts if any turn waited or was refused, and resets them. */
  write(
    state: {
      readonly service: string;
      readonly room: ServiceRoom;
      readonly waiting: number;
    },
  ): void {
    const { service, room, waiting } = state;
    for (const [priority, counts] of this.#counts) {
      if (counts.waited + counts.refused === 0) continue;
      this.#logger.info("Turns waited or refused", {
        service,
        priority,
        started: counts.started,
        waited: counts.waited,
        mean_wait_ms: Math.round(
          counts.waitMilliseconds / Math.max(1, counts.waited),
        ),
        refused: counts.refused,
        refused_first: counts.refusedFirst,
        waiting,
        open: room.open,
        slots: room.slots,
        mean_turn_ms: Math.round(room.meanTurnMilliseconds),
      });
    }
    this.#counts.clear();
  }

  #find(priority: number): PriorityCounts {
    const known = this.#counts.get(priority);
    if (known !== undefined) return known;
    const counts = {
      started: 0,
      waited: 0,
      waitMilliseconds: 0,
      refused: 0,
      refusedFirst: 0,
    };
    this.#counts.set(priority, counts);
    return counts;
  }
}
