/** Bounds the bytes of the bodies that an entry holds for its open requests. */

import type { Metrics } from "@mallowlift/core";

/** Bytes that one request holds. */
export interface HeldBody {
  /** Adds bytes; returns false if they exceed the limits, and then adds none. */
  add(bytes: number): boolean;
  /** Releases all bytes. */
  release(): void;
}

/**
 * Grants each holder at most as many bytes as are free. One that holds much is
 * refused before others, for which there is always some room left.
 */
export class BodyBudget {
  readonly #totalBytes: number;
  readonly #metrics: Metrics;
  readonly #holders = new Map<string, number>();
  #heldBytes = 0;

  constructor(totalBytes: number, metrics: Metrics) {
    this.#totalBytes = totalBytes;
    this.#metrics = metrics;
  }

  /** Bytes of all holders. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the account of one request of a holder. */
  open(holder: string): HeldBody {
    let held = 0;
    return {
      add: (bytes) => {
        if (!this.#hasRoom(holder, bytes)) return false;
        held += bytes;
        this.#change(holder, bytes);
        return true;
      },
      release: () => {
        this.#change(holder, -held);
        held = 0;
      },
    };
  }

  #hasRoom(holder: string, bytes: number): boolean {
    const own = this.#holders.get(holder) ?? 0;
    return own + bytes <= this.#totalBytes - this.#heldBytes;
  }

  #change(holder: string, bytes: number): void {
    this.#heldBytes += bytes;
    const own = (this.#holders.get(holder) ?? 0) + bytes;
    if (own === 0) this.#holders.delete(holder);
    else this.#holders.set(holder, own);
    this.#metrics.heldBytes.set({ part: "entry" }, this.#heldBytes);
  }
}
