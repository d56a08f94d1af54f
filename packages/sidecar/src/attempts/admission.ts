/**
 * Admission control for one upstream: a fixed number of slots and a bounded
 * queue in front of them.
 */

import { createDeferred, type Deferred } from "@mallowlift/core";
import type { QueuedCall, QueueOrder } from "@mallowlift/scheduling";

interface Waiter extends QueuedCall {
  readonly turn: Deferred<boolean>;
}

/** Limits of running and queued calls. */
export interface AdmissionLimits {
  readonly slots: number;
  readonly queueLimit: number;
}

/** Grants slots to queued calls in the order of a scheduling policy. */
export class Admission {
  readonly #limits: AdmissionLimits;
  readonly #order: QueueOrder;
  readonly #waiting: Waiter[] = [];
  #running = 0;
  /** Moving average of the time that a call holds its slot. */
  #averageHoldMilliseconds = 200;

  constructor(limits: AdmissionLimits, order: QueueOrder) {
    this.#limits = limits;
    this.#order = order;
  }

  /** Number of calls that hold a slot. */
  get running(): number {
    return this.#running;
  }

  /** Number of calls that wait for a slot. */
  get queued(): number {
    return this.#waiting.length;
  }

  /** True if the slots and the queue are full, so the next call is rejected. */
  get isFull(): boolean {
    return this.#running >= this.#limits.slots &&
      this.#waiting.length >= this.#limits.queueLimit;
  }

  /**
   * Estimates after how many milliseconds a rejected call should be retried,
   * from the queue length and the average time that a call holds a slot.
   */
  estimateRetryMilliseconds(): number {
    const rounds = (this.#waiting.length + 1) / this.#limits.slots;
    return Math.ceil(Math.max(50, rounds * this.#averageHoldMilliseconds));
  }

  /** Waits for a slot; returns false if the call is cancelled while queued. */
  async acquire(call: QueuedCall, signal: AbortSignal): Promise<boolean> {
    if (this.#running < this.#limits.slots) {
      this.#running++;
      return true;
    }
    const waiter: Waiter = { ...call, turn: createDeferred<boolean>() };
    this.#waiting.push(waiter);
    const dequeue = () => {
      const position = this.#waiting.indexOf(waiter);
      if (position < 0) return;
      this.#waiting.splice(position, 1);
      waiter.turn.resolve(false);
    };
    signal.addEventListener("abort", dequeue, { once: true });
    if (signal.aborted) dequeue();
    const isAdmitted = await waiter.turn.promise;
    signal.removeEventListener("abort", dequeue);
    return isAdmitted;
  }

  /** Releases a slot and grants it to the next queued call, if there is one. */
  release(now: number, acquiredAt: number): void {
    this.#averageHoldMilliseconds +=
      (now - acquiredAt - this.#averageHoldMilliseconds) / 16;
    this.#running--;
    if (this.#waiting.length === 0) return;
    const position = this.#order.choose(this.#waiting, now);
    const [next] = this.#waiting.splice(position, 1);
    if (next === undefined) return;
    this.#running++;
    next.turn.resolve(true);
  }
}
