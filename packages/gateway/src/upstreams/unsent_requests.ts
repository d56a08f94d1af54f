/**
 * Bounds the request bytes that wait to be written to upstreams that read
 * slowly.
 */

/** Limits on unsent request bytes. */
export interface UnsentLimits {
  /** Largest number of bytes that wait for one upstream. */
  readonly upstreamBytes: number;
  /** Largest number of bytes that wait for all upstreams. */
  readonly totalBytes: number;
}

/** The bytes of one request that are not written yet. */
export interface UnsentRequest {
  /** Stops counting the request; further calls have no effect. */
  release(): void;
}

/**
 * Counts unsent bytes by upstream.
 *
 * @example
 * ```ts
 * const request = unsent.tryAdd(upstream, bytes.length);
 * if (request === undefined) return; // the upstream is full for the moment
 * socket.write(bytes, () => request.release());
 * ```
 */
export class UnsentRequests {
  readonly #limits: UnsentLimits;
  /** Upstreams with unsent bytes. */
  readonly #bytesByUpstream = new Map<object, number>();
  #totalBytes = 0;

  constructor(limits: UnsentLimits) {
    this.#limits = limits;
  }

  /** Unsent bytes of all upstreams. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Counts a request of this many bytes, or returns undefined if that would
   * pass a bound. A request that is larger than a bound is accepted if nothing
   * else counts towards the bound.
   */
  tryAdd(upstream: object, bytes: number): UnsentRequest | undefined {
    const { upstreamBytes, totalBytes } = this.#limits;
    const waiting = this.#bytesByUpstream.get(upstream) ?? 0;
    if (waiting > 0 && waiting + bytes > upstreamBytes) return undefined;
    const isOverTotal = this.#totalBytes + bytes > totalBytes;
    if (this.#totalBytes > 0 && isOverTotal) return undefined;
    this.#add(upstream, bytes);
    let isReleased = false;
    return {
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#add(upstream, -bytes);
      },
    };
  }

  #add(upstream: object, bytes: number): void {
    this.#totalBytes += bytes;
    const sum = (this.#bytesByUpstream.get(upstream) ?? 0) + bytes;
    if (sum === 0) this.#bytesByUpstream.delete(upstream);
    else this.#bytesByUpstream.set(upstream, sum);
  }
}
