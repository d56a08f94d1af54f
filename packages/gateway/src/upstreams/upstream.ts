/** One upstream instance as this gateway sees it. */

import type { Outcome, UpstreamInstance } from "@mallowlift/core";
import { fail, RESULT_CODES } from "@mallowlift/core";
import { Ok } from "ts-results";
import { UpstreamConnection } from "./upstream_connection.ts";
import { UpstreamHealth } from "./upstream_health.ts";

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

/** Connections to one upstream. */
export class Upstream {
  instance: UpstreamInstance;
  /** How it has done. */
  readonly health = new UpstreamHealth();
  /** Requests of this gateway that are with the upstream. */
  running = 0;
  readonly #resting: RestingConnection[] = [];
  #open = 0;
  #isGone = false;

  constructor(instance: UpstreamInstance) {
    this.instance = instance;
  }

  /** True once the instance is off the list or has been replaced. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** True if the instance is there and stays. */
  get isStaying(): boolean {
    return !this.#isGone && !this.instance.leaving;
  }

  /** True if a connection rests that the next request can use. */
  hasResting(now: number): boolean {
    const newest = this.#resting.at(-1);
    return newest !== undefined && newest.until > now;
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
