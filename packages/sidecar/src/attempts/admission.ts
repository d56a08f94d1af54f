/** Slots of the upstream, and the bounded queue before them. */

import { createDeferred, type Deferred } from "@mallowlift/core";
import type { QueueOrder, WaitingCall } from "@mallowlift/scheduling";

interface Waiter extends WaitingCall {
  readonly turn: Deferred<boolean>;
}

/** How many calls run and wait. */
export interface AdmissionLimits {
  readonly slots: number;
  readonly queueLimit: number;
}

/** Hands out slots in the order of a policy. */
export class Admission {
  readonly #limits: AdmissionLimits;
  readonly #order: QueueOrder;
  readonly #waiting: Waiter[] = [];
  #running = 0;
  /** Smoothed time that a call holds its slot. */
  #holdMilliseconds = 200;

  constructor(limits: AdmissionLimits, order: QueueOrder) {
    this.#limits = limits;
    this.#order = order;
  }

  /** Calls that hold a slot. */
  get running(): number {
    return this.#running;
  }

  /** Calls that wait for one. */
  get queued(): number {
    return this.#waiting.length;
  }

  /** True if the next call would be refused. */
  get isFull(): boolean {
    return this.#running >= this.#limits.slots &&
      this.#waiting.length >= this.#limits.queueLimit;
  }

  /** When a refused call should come back, from the work in front. */
  estimateRetryMilliseconds(): number {
    const rounds = (this.#waiting.length + 1) / this.#limits.slots;
    return Math.ceil(Math.max(50, rounds * this.#holdMilliseconds));
  }

  /** Waits for a slot; false if the call was cancelled meanwhile. */
  async enter(call: WaitingCall, signal: AbortSignal): Promise<boolean> {
    if (this.#running < this.#limits.slots) {
      this.#running++;
      return true;
    }
    const waiter: Waiter = { ...call, turn: createDeferred<boolean>() };
    this.#waiting.push(waiter);
    const leave = () => {
      const position = this.#waiting.indexOf(waiter);
      if (position < 0) return;
      this.#waiting.splice(position, 1);
      waiter.turn.resolve(false);
    };
    signal.addEventListener("abort", leave, { once: true });
    if (signal.aborted) leave();
    const entered = await waiter.turn.promise;
    signal.removeEventListener("abort", leave);
    return entered;
  }

  /** Gives a slot back, and on to whoever is next. */
  leave(now: number, enteredAt: number): void {
    this.#holdMilliseconds += (now - enteredAt - this.#holdMilliseconds) / 16;
    this.#running--;
    if (this.#waiting.length === 0) return;
    const position = this.#order.choose(this.#waiting, now);
    const [next] = this.#waiting.splice(position, 1);
    if (next === undefined) return;
    this.#running++;
    next.turn.resolve(true);
  }
}
