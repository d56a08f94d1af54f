/**
 * An upstream instance with its health and this gateway's connections to it.
 */

import type { Outcome, UpstreamInstance } from "@mallowlift/core";
import { fail, RESULT_CODES } from "@mallowlift/core";
import { Ok } from "ts-results";
import { checkAddress, type UpstreamState } from "./check_address.ts";
import { UpstreamConnection } from "./upstream_connection.ts";
import { UpstreamHealth } from "./upstream_health.ts";

/**
 * Time by which an idle connection is closed before the upstream would close
 * it, ms.
 */
const IDLE_MARGIN_MILLISECONDS = 700;
/**
 * Idle time if the upstream does not announce a timeout, ms: below one whole
 * second.
 */
const DEFAULT_IDLE_MILLISECONDS = 400;

/** Listeners for the end of an instance that are kept; later ones replace the oldest. */
const MAX_END_LISTENERS = 64;

interface IdleConnection {
  readonly connection: UpstreamConnection;
  readonly expiresAt: number;
}

/** Limits on connections to one upstream. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  readonly connectMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** Which connections may carry a request. */
export interface ConnectionChoice {
  /** Connections that must not carry it. */
  readonly excluded: ReadonlySet<UpstreamConnection>;
  /** True if only a new connection may carry it. */
  readonly needsNew: boolean;
}

const ANY_CONNECTION: ConnectionChoice = {
  excluded: new Set(),
  needsNew: false,
};

/** An upstream instance and a pool of connections to it. */
export class Upstream {
  instance: UpstreamInstance;
  /** Recent failures and answer times of the instance. */
  readonly health = new UpstreamHealth();
  /** Requests of this gateway that are in flight at the upstream. */
  running = 0;
  readonly #idle: IdleConnection[] = [];
  #connectionCount = 0;
  readonly #endListeners: (() => void)[] = [];
  #check: Promise<UpstreamState> | undefined;
  #isRetired = false;

  constructor(instance: UpstreamInstance) {
    this.instance = instance;
  }

  /**
   * True once the instance has been removed from the instance list or replaced.
   */
  get isRetired(): boolean {
    return this.#isRetired;
  }

  /** True if the instance is listed and not leaving. */
  get isAvailable(): boolean {
    return !this.#isRetired && !this.instance.leaving;
  }

  /** True if the pool has an idle connection that has not expired. */
  hasIdleConnection(now: number): boolean {
    const newest = this.#idle.at(-1);
    return newest !== undefined && newest.expiresAt > now;
  }

  /** Marks the instance as ended; its connections are not reused. */
  retire(): void {
    this.#isRetired = true;
    this.closeIdle();
    const listeners = this.#endListeners.splice(0);
    // An instance that was leaving has ended as planned.
    if (this.instance.leaving) return;
    for (const listener of listeners) listener();
  }

  /** Calls back when the instance turns out to have ended without leaving first. */
  onEnd(listener: () => void): void {
    this.#endListeners.push(listener);
    if (this.#endListeners.length > MAX_END_LISTENERS) {
      this.#endListeners.shift();
    }
  }

  /** Checks whether the instance still accepts connections; shared by simultaneous callers. */
  check(timeoutMilliseconds: number): Promise<UpstreamState> {
    this.#check ??= checkAddress(this.instance.address, timeoutMilliseconds)
      .finally(() => this.#check = undefined);
    return this.#check;
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    for (const { connection } of this.#idle.splice(0)) connection.destroy();
  }

  /** Closes the idle connections that have expired. */
  closeExpired(now: number): void {
    while (this.#idle[0] !== undefined && this.#idle[0].expiresAt <= now) {
      this.#idle.shift()?.connection.destroy();
    }
  }

  /**
   * Returns the newest idle connection that may be chosen, or opens one within the
   * limits. Another idle connection is closed if it takes the place of the new one.
   */
  async acquire(
    limits: ConnectionLimits,
    now: number,
    choice: ConnectionChoice = ANY_CONNECTION,
  ): Promise<Outcome<UpstreamConnection>> {
    const { excluded, needsNew } = choice;
    const idle = needsNew ? undefined : this.#takeIdle(now, excluded);
    if (idle !== undefined) return Ok(idle);
    if (this.#connectionCount >= limits.maxConnections) {
      this.#idle.pop()?.connection.destroy();
    }
    if (this.#connectionCount >= limits.maxConnections) {
      return fail(
        RESULT_CODES.QUEUE_FULL,
        "All connections to the upstream are in use",
      );
    }
    this.#connectionCount++;
    const opened = await UpstreamConnection.open(
      this.instance.address,
      limits.connectMilliseconds,
    );
    if (opened.err) {
      this.#connectionCount--;
      return opened;
    }
    const connection = opened.val;
    connection.onClosed = () => this.#removeConnection(connection);
    if (!connection.isUsable) this.#connectionCount--;
    return opened;
  }

  /** Returns a connection to the pool, or closes it if it cannot be reused. */
  release(
    connection: UpstreamConnection,
    limits: ConnectionLimits,
    now: number,
  ): void {
    if (this.#isRetired || !connection.isUsable) return connection.destroy();
    const idleTimeout = connection.idleTimeoutMilliseconds;
    const idleMilliseconds = idleTimeout === undefined
      ? DEFAULT_IDLE_MILLISECONDS
      : idleTimeout - IDLE_MARGIN_MILLISECONDS;
    const expiresAt = now + Math.min(idleMilliseconds, limits.idleMilliseconds);
    if (expiresAt <= now) return connection.destroy();
    connection.isReused = true;
    this.#idle.push({ connection, expiresAt });
  }

  #takeIdle(
    now: number,
    excluded: ReadonlySet<UpstreamConnection>,
  ): UpstreamConnection | undefined {
    for (const { connection, expiresAt } of this.#idle.toReversed()) {
      if (expiresAt <= now || !connection.isUsable) {
        connection.destroy();
        continue;
      }
      if (excluded.has(connection)) continue;
      this.#removeIdle(connection);
      return connection;
    }
    return undefined;
  }

  #removeIdle(connection: UpstreamConnection): void {
    const index = this.#idle.findIndex((idle) =>
      idle.connection === connection
    );
    if (index !== -1) this.#idle.splice(index, 1);
  }

  #removeConnection(connection: UpstreamConnection): void {
    this.#connectionCount--;
    this.#removeIdle(connection);
  }
}
