/**
 * Cache events of a fake engine. They are published with a delay, and some can
 * be left out, so that tests cover an incomplete view of the cache.
 */

/** Number of events that are kept; readers that fall behind miss older ones. */
const MAX_EVENTS = 1_000;

/** One finished generation whose prompt and answer were cached. */
export interface CacheEvent {
  readonly sequence: number;
  /** Time of the event, ms since the epoch. */
  readonly at: number;
  readonly session: string;
  /** Tokens of the prompt and the answer. */
  readonly tokens: number;
}

/** Delay and gaps of the published events. */
export interface CacheEventOptions {
  /** Time from an event until it is published, ms. */
  readonly eventLagMilliseconds: number;
  /** Leaves out one event in this many, with 3 every third; 0 for none. */
  readonly eventGap: number;
}

/** Keeps the newest events and publishes them with a delay. */
export class CacheEvents {
  readonly #options: CacheEventOptions;
  readonly #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(options: CacheEventOptions) {
    this.#options = options;
  }

  /** Adds an event, unless it falls into a gap. */
  add(session: string, tokens: number, now: number): void {
    this.#sequence++;
    const { eventGap } = this.#options;
    if (eventGap > 0 && this.#sequence % eventGap === 0) return;
    this.#events.push({ sequence: this.#sequence, at: now, session, tokens });
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }

  /** Returns the published events after a sequence number; `now` in ms. */
  list(after: number, now: number): readonly CacheEvent[] {
    const publishedUntil = now - this.#options.eventLagMilliseconds;
    return this.#events.filter((event) =>
      event.sequence > after && event.at <= publishedUntil
    );
  }
}
