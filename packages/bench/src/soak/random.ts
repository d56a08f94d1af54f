/** Seeded random choices. */

import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus,
} from "pure-rand";

/** A stream of random numbers that a seed determines. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a whole number from the least to the most, both included. */
  between(least: number, most: number): number {
    return unsafeUniformIntDistribution(least, most, this.#generator);
  }

  /** Returns true so many times in a hundred. */
  happens(percent: number): boolean {
    return this.between(1, 100) <= percent;
  }

  /** Returns one of the choices. */
  choose<T>(choices: readonly T[]): T {
    const choice = choices[this.between(0, choices.length - 1)];
    if (choice === undefined) {
      throw new Error("There is nothing to choose from");
    }
    return choice;
  }
}
