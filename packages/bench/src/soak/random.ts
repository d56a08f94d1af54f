/** Random choices that are reproducible by their seed. */

import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus,
} from "pure-rand";

/** A stream of random numbers that is determined by a seed. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer between two bounds, both included. */
  between(least: number, most: number): number {
    return unsafeUniformIntDistribution(least, most, this.#generator);
  }

  /** Returns true with a probability in percent. */
  happens(percent: number): boolean {
    return this.between(1, 100) <= percent;
  }

  /** Returns a random element; throws if there is none. */
  choose<T>(choices: readonly T[]): T {
    const choice = choices[this.between(0, choices.length - 1)];
    if (choice === undefined) {
      throw new Error("The list of choices is empty");
    }
    return choice;
  }
}
