/**
 * A supervision tree. A supervisor starts its children in order, restarts failed
 * children and stops them in reverse order. It fails itself when its children
 * fail too often or a fatal one fails; a failure of the root ends the process.
 */

import { performance } from "node:perf_hooks";
import type { Logger } from "../logs/logger.ts";
import { createDeferred, type Deferred, sleep } from "../shared/sleep.ts";
import { toCodedError } from "../result/coded_error.ts";

const RESTART_DELAY_MILLISECONDS = 100;

/** A part of a daemon that can be started and stopped. */
export interface Child {
  readonly name: string;
  /** Starts the child; resolves once it is ready. */
  start(): Promise<void>;
  /** Settles when the child ends without having been stopped. */
  readonly ended?: Promise<void>;
  /** True if a failure of the child must end the process. */
  readonly isFatal?: boolean;
  /**
   * Called for all children before the first of them is stopped, with the end
   * that all share, by the local clock (`performance.now`), ms. The child still
   * serves, but starts nothing that it cannot finish by then.
   */
  prepareStop?(endAt: number): void;
  /**
   * Stops the child after it has finished its open work; what is still open
   * shortly before the end is ended with an answer.
   *
   * @param endAt when the child must have stopped, by the local clock
   *   (`performance.now`), ms
   */
  stop(endAt: number): Promise<void>;
}

/** Creates a child; called again for each restart. */
export type ChildFactory = () => Child;

/** Options of a {@linkcode Supervisor}. */
export interface SupervisorOptions {
  readonly logger: Logger;
  /** Restarts allowed within the interval; one more fails the supervisor. */
  readonly maxRestarts: number;
  readonly intervalMilliseconds: number;
}

interface Slot {
  readonly factory: ChildFactory;
  child: Child | undefined;
}

/** Starts, restarts and stops children; is itself a child. */
export class Supervisor implements Child {
  readonly name: string;
  readonly #options: SupervisorOptions;
  readonly #slots: Slot[] = [];
  readonly #ended: Deferred<Error> = createDeferred<Error>();
  #restartTimes: number[] = [];
  /** When the children must have stopped; undefined until a stop begins. */
  #endAt: number | undefined;

  constructor(name: string, options: SupervisorOptions) {
    this.name = name;
    this.#options = options;
  }

  /**
   * Rejects when the children fail more often than allowed, or a fatal one
   * fails.
   */
  get ended(): Promise<void> {
    return this.#ended.promise.then((error) => {
      throw error;
    });
  }

  /** Adds a child, which is started by {@linkcode Supervisor.start}. */
  add(factory: ChildFactory): void {
    this.#slots.push({ factory, child: undefined });
  }

  /** Starts the children in the order they were added. */
  async start(): Promise<void> {
    for (const slot of this.#slots) await this.#startSlot(slot);
  }

  /** Announces the stop to the children that have started. */
  prepareStop(endAt: number): void {
    this.#endAt = endAt;
    for (const { child } of this.#slots) child?.prepareStop?.(endAt);
  }

  /**
   * Stops the children in reverse order, all by the same end. A child that is
   * still starting is stopped once it has started, and no other one is started.
   */
  async stop(endAt: number): Promise<void> {
    this.prepareStop(endAt);
    for (const slot of this.#slots.toReversed()) {
      const child = slot.child;
      slot.child = undefined;
      if (child !== undefined) await child.stop(endAt);
    }
  }

  async #startSlot(slot: Slot): Promise<void> {
    if (this.#endAt !== undefined) return;
    const child = slot.factory();
    await child.start();
    if (this.#endAt !== undefined) return await child.stop(this.#endAt);
    slot.child = child;
    this.#options.logger.debug("Child started", { child: child.name });
    // Reads the property once: a child may create a promise on each access, and
    // a rejected promise without a handler would end the process.
    const { ended } = child;
    if (ended !== undefined) void this.#watch(slot, ended);
  }

  async #watch(slot: Slot, ended: Promise<void>): Promise<void> {
    const reason = await ended.then(
      () => "ended",
      (thrown) => toCodedError(thrown).message,
    );
    if (this.#endAt !== undefined) return;
    const name = slot.child?.name ?? "";
    this.#options.logger.error("Child failed", { child: name, reason });
    if (slot.child?.isFatal === true) {
      this.#ended.resolve(new Error(`Child ${name} failed: ${reason}`));
      return;
    }
    const now = performance.now();
    const windowStart = now - this.#options.intervalMilliseconds;
    this.#restartTimes = this.#restartTimes.filter((time) =>
      time > windowStart
    );
    this.#restartTimes.push(now);
    if (this.#restartTimes.length > this.#options.maxRestarts) {
      this.#ended.resolve(
        new Error(`Child ${name} failed too often: ${reason}`),
      );
      return;
    }
    await sleep(RESTART_DELAY_MILLISECONDS);
    try {
      await this.#startSlot(slot);
    } catch (thrown) {
      void this.#watch(slot, Promise.reject(thrown));
    }
  }
}
