/** Estimates which upstreams a gateway has idle connections to. */

/** Connections of one gateway to all upstreams, by the upstreams' columns. */
export class GatewayConnections {
  #open = new Uint16Array(0);
  #peak = new Uint16Array(0);
  /** When the peak was last reached, ms. */
  #peakAt = new Float64Array(0);
  readonly #idleMilliseconds: number;
  /** When the gateway last began a turn, ms. */
  usedAt = 0;

  constructor(idleMilliseconds: number) {
    this.#idleMilliseconds = idleMilliseconds;
  }

  /** True if one more turn probably finds an idle connection. */
  isWarm(column: number, now: number): boolean {
    const peak = this.#peak[column];
    return peak !== undefined && peak > (this.#open[column] as number) &&
      now - (this.#peakAt[column] as number) < this.#idleMilliseconds;
  }

  /** Records that a turn begins to use a connection. */
  acquire(column: number, now: number): void {
    if (column >= this.#open.length) this.#grow(column + 1);
    this.usedAt = now;
    const open = (this.#open[column] as number) + 1;
    this.#open[column] = open;
    if (open > (this.#peak[column] as number)) this.#setPeak(column, now);
  }

  /** Records that a turn has ended and leaves its connection idle. */
  release(column: number, now: number): void {
    const open = this.#open[column] ?? 0;
    if (open === 0) return;
    const isExpired =
      now - (this.#peakAt[column] as number) >= this.#idleMilliseconds;
    if (open >= (this.#peak[column] as number) || isExpired) {
      this.#setPeak(column, now);
    }
    this.#open[column] = open - 1;
  }

  /** Forgets an upstream, so that its column can be given to another one. */
  clear(column: number): void {
    if (column >= this.#open.length) return;
    this.#open[column] = 0;
    this.#peak[column] = 0;
  }

  #setPeak(column: number, now: number): void {
    this.#peak[column] = this.#open[column] as number;
    this.#peakAt[column] = now;
  }

  #grow(columns: number): void {
    const length = 32 * Math.ceil(columns / 32);
    const [open, peak, peakAt] = [this.#open, this.#peak, this.#peakAt];
    this.#open = new Uint16Array(length);
    this.#open.set(open);
    this.#peak = new Uint16Array(length);
    this.#peak.set(peak);
    this.#peakAt = new Float64Array(length);
    this.#peakAt.set(peakAt);
  }
}
