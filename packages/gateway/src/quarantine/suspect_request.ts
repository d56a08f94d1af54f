/** The upstreams that have ended under one request, and when it may be sent again. */

/** Ends of one upstream within this time are one end that several gateways saw, ms. */
const SAME_END_MILLISECONDS = 250;
/** Longest hold, as a multiple of the first one. */
const MAX_HOLD_FACTOR = 16;
/** Ends that are kept; each further one would lengthen a hold that has its maximum. */
const MAX_KEPT_ENDS = 8;
/** Time in which attempts that were in flight may still be answered, ms. */
const ANSWER_WAIT_MILLISECONDS = 1_000;
/** Ends from which a request whose content was answered before is sent one at a time. */
const MIN_ENDS_OF_ANSWERED = 2;

/** An upstream that ended while it ran a request; times are of the local clock, ms. */
export interface UpstreamEnd {
  readonly upstream: string;
  /** When the request was sent to it. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** True if the same content had been answered before. */
  readonly wasAnswered: boolean;
}

/** Limits of a quarantine. */
export interface QuarantineLimits {
  /** Upstreams that may end under a request before it is held; 0 for no limit. */
  readonly maxEnds: number;
  /** How long a request is held at first, ms; each further end doubles it. */
  readonly holdMilliseconds: number;
}

/**
 * A request under which upstreams have ended, and that nothing has cleared yet.
 *
 * @example
 * ```ts
 * const suspect = new SuspectRequest({ maxEnds: 1, holdMilliseconds: 60_000 });
 * suspect.addEnd({ upstream: "u", sentAt: 0, endedAt: 5, wasAnswered: false });
 * suspect.heldUntil; // 60005
 * ```
 */
export class SuspectRequest {
  readonly #limits: QuarantineLimits;
  #ends: readonly UpstreamEnd[] = [];
  #wasAnswered = false;
  /** Attempts of this gateway that are in flight. */
  attempts = 0;

  constructor(limits: QuarantineLimits) {
    this.#limits = limits;
  }

  /** The ends that count against the request, oldest first. */
  get ends(): readonly UpstreamEnd[] {
    return this.#ends;
  }

  /** True if the request is sent only to find out whether upstreams still end. */
  get isQuarantined(): boolean {
    return this.#ends.length >= this.#limits.maxEnds;
  }

  /** Until when the request is not sent; -Infinity if it may be. */
  get heldUntil(): number {
    const { maxEnds, holdMilliseconds } = this.#limits;
    const excess = this.#ends.length - maxEnds;
    if (excess < 0) return -Infinity;
    const factor = Math.min(2 ** excess, MAX_HOLD_FACTOR);
    return this.lastEndedAt + factor * holdMilliseconds;
  }

  /**
   * Until when a content that was answered before is not refused: the answer to an
   * attempt in flight may clear it.
   */
  get undecidedUntil(): number {
    if (!this.#wasAnswered) return -Infinity;
    return this.lastEndedAt + ANSWER_WAIT_MILLISECONDS;
  }

  /** When the ends are forgotten unless another one is added. */
  get expiresAt(): number {
    const heldMilliseconds = this.heldUntil - this.lastEndedAt;
    const { holdMilliseconds } = this.#limits;
    if (heldMilliseconds < 0) return this.lastEndedAt + holdMilliseconds;
    return this.lastEndedAt + 2 * heldMilliseconds;
  }

  /** True if only one attempt at a time may be in flight. */
  get isSentOneAtATime(): boolean {
    return !this.#wasAnswered || this.#ends.length >= MIN_ENDS_OF_ANSWERED;
  }

  /**
   * Counts an end against the request; false if it tells nothing new. A request
   * whose content has been answered before was probably at its upstreams by
   * chance: of the attempts that were in flight together only one counts.
   */
  addEnd(end: UpstreamEnd): boolean {
    this.#wasAnswered ||= end.wasAnswered;
    const isKnown = this.#ends.some((known) =>
      known.upstream === end.upstream &&
      Math.abs(known.endedAt - end.endedAt) < SAME_END_MILLISECONDS
    );
    const wasInFlight = this.#ends.length > 0 &&
      end.sentAt < this.lastEndedAt;
    if (isKnown || (this.#wasAnswered && wasInFlight)) return false;
    this.#ends = [...this.#ends, end]
      .sort((left, right) => left.endedAt - right.endedAt)
      .slice(-MAX_KEPT_ENDS);
    return true;
  }

  /** When the newest of the ends came. */
  get lastEndedAt(): number {
    return this.#ends.at(-1)?.endedAt ?? -Infinity;
  }
}
