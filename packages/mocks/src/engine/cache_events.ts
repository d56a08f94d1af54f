/** Cache events of a fake engine: they come out late, and some never do. */

/** Events that are kept; older ones are gone for whoever asks late. */
const KEPT_EVENTS = 1_000;

/** What a program's prompt left in the cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly at: number;
  readonly session: string;
  readonly tokens: number;
}

/** How late and how full of gaps the events are. */
export interface CacheEventOptions {
  readonly eventLagMilliseconds: number;
  /** Every so many events are left out; 0 for none. */
  readonly eventGap: number;
}

/** The newest events. */
export class CacheEvents {
  readonly #options: CacheEventOptions;
  readonly #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(options: CacheEventOptions) {
    this.#options = options;
  }

  /** Notes an event, unless it is one that never comes out. */
  note(session: string, tokens: number, now: number): void {
    this.#sequence++;
    const { eventGap } = this.#options;
    if (eventGap > 0 && this.#sequence % eventGap === 0) return;
    this.#events.push({ sequence: this.#sequence, at: now, session, tokens });
    if (this.#events.length > KEPT_EVENTS) this.#events.shift();
  }

  /** Events after a sequence number that are old enough to come out. */
  list(after: number, now: number): readonly CacheEvent[] {
    const until = now - this.#options.eventLagMilliseconds;
    return this.#events.filter((event) =>
      event.sequence > after && event.at <= until
    );
  }
}
