/** One upstream instance as this gateway sees it. */

import type { Outcome, UpstreamInstance } from "@mallowlift/core";
import { fail, RESULT_CODES } from "@mallowlift/core";
import { Ok } from "ts-results";
import { UpstreamConnection } from "./upstream_connection.ts";

/** Weight of the newest time in the running mean: about the last ten answers count. */
const NEWEST_WEIGHT = 0.15;
/** First time out of use after a failure, ms; doubles with each further one. */
const FIRST_REST_MILLISECONDS = 200;
/** Longest time out of use, ms: an upstream that is back is found again soon. */
const LAST_REST_MILLISECONDS = 4_000;
/** Time in which a mean loses half of its distance from the others', ms. */
const FADE_MILLISECONDS = 4_000;
/** Margin before an upstream closes a resting connection, ms. */
const REST_MARGIN_MILLISECONDS = 700;
/** Rest assumed where an upstream does not say, ms: below one whole second. */
const UNKNOWN_REST_MILLISECONDS = 400;

interface RestingConnection {
  readonly connection: UpstreamConnection;
  readonly until: number;
}

/** Limits on connections to one upstream. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  readonly connectMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** Connections to one upstream, and how it has done. */
export class Upstream {
  instance: UpstreamInstance;
  /** Requests of this gateway that are with the upstream. */
  running = 0;
  readonly #resting: RestingConnection[] = [];
  #open = 0;
  #meanMilliseconds = -1;
  #measuredAt = 0;
  #failures = 0;
  #restsUntil = -Infinity;
  #isGone = false;

  constructor(instance: UpstreamInstance) {
    this.instance = instance;
  }

  /** True once the instance is off the list or has been replaced. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** True if new work may be sent. */
  isUsable(now: number): boolean {
    return !this.#isGone && !this.instance.leaving && now >= this.#restsUntil;
  }

  /** True if a connection rests that the next request can use. */
  hasResting(now: number): boolean {
    const newest = this.#resting.at(-1);
    return newest !== undefined && newest.until > now;
  }

  /** Mean time of an answer, drawn towards the given one as it ages. */
  findMean(now: number, common: number): number {
    if (this.#meanMilliseconds < 0) return common;
    const age = now - this.#measuredAt;
    const trust = 0.5 ** (age / FADE_MILLISECONDS);
    return common + (this.#meanMilliseconds - common) * trust;
  }

  /** True if any time has been measured. */
  get isMeasured(): boolean {
    return this.#meanMilliseconds >= 0;
  }

  /** Takes the time that an answer took. */
  noteTime(milliseconds: number, now: number): void {
    this.#failures = 0;
    this.#measuredAt = now;
    this.#meanMilliseconds = this.#meanMilliseconds < 0
      ? milliseconds
      : this.#meanMilliseconds +
        NEWEST_WEIGHT * (milliseconds - this.#meanMilliseconds);
  }

  /** Takes the upstream out of use for a time that grows with each failure. */
  noteFailure(now: number): void {
    const rest = FIRST_REST_MILLISECONDS * 2 ** this.#failures;
    this.#failures++;
    this.#restsUntil = now + Math.min(rest, LAST_REST_MILLISECONDS);
  }

  /** Takes the upstream out of use for a time: it said that it is full. */
  noteFull(now: number, milliseconds: number): void {
    this.#restsUntil = Math.max(this.#restsUntil, now + milliseconds);
  }

  /** The instance has ended: its connections are not used again. */
  retire(): void {
    this.#isGone = true;
    this.closeResting();
  }

  /** Closes connections that rest. */
  closeResting(): void {
    for (const { connection } of this.#resting.splice(0)) connection.destroy();
  }

  /** Closes connections that have rested too long. */
  sweep(now: number): void {
    while (this.#resting[0] !== undefined && this.#resting[0].until <= now) {
      this.#resting.shift()?.connection.destroy();
    }
  }

  /** Returns a connection; a resting one if there is one. */
  async acquire(
    limits: ConnectionLimits,
    now: number,
  ): Promise<Outcome<UpstreamConnection>> {
    let resting = this.#resting.pop();
    while (resting !== undefined) {
      if (resting.until > now && resting.connection.isSound) {
        return Ok(resting.connection);
      }
      resting.connection.destroy();
      resting = this.#resting.pop();
    }
    if (this.#open >= limits.maxConnections) {
      return fail(RESULT_CODES.QUEUE_FULL, "All connections are in use");
    }
    this.#open++;
    const opened = await UpstreamConnection.open(
      this.instance.address,
      limits.connectMilliseconds,
    );
    if (opened.err) {
      this.#open--;
      return opened;
    }
    const connection = opened.val;
    connection.onClosed = () => this.#drop(connection);
    if (!connection.isSound) this.#open--;
    return opened;
  }

  /** Takes a connection back for the next request. */
  release(
    connection: UpstreamConnection,
    limits: ConnectionLimits,
    now: number,
  ): void {
    if (this.#isGone || !connection.isSound) return connection.destroy();
    const allowed = connection.restMilliseconds;
    const rest = allowed === undefined
      ? UNKNOWN_REST_MILLISECONDS
      : allowed - REST_MARGIN_MILLISECONDS;
    const until = now + Math.min(rest, limits.idleMilliseconds);
    if (until <= now) return connection.destroy();
    this.#resting.push({ connection, until });
  }

  #drop(connection: UpstreamConnection): void {
    this.#open--;
    const index = this.#resting.findIndex((resting) =>
      resting.connection === connection
    );
    if (index !== -1) this.#resting.splice(index, 1);
  }
}
