/** Parsers for numbers on a command line; an invalid number is an error instead of NaN. */

import { InvalidArgumentError } from "commander";

/** Inclusive bounds of a number. */
export interface NumberBounds {
  readonly least: number;
  readonly most: number;
  /** True if the number may have a fraction. */
  readonly fraction?: boolean;
}

/**
 * Returns a parser for an option that takes one number. The parser throws
 * {@linkcode InvalidArgumentError} for other text and for numbers out of bounds.
 *
 * @example
 * ```ts
 * new Command().option("--seed <n>", "seed", readNumber({ least: 0, most: 9 }), 1);
 * ```
 */
export function readNumber(bounds: NumberBounds): (text: string) => number {
  const pattern = bounds.fraction === true ? /^\d+(\.\d+)?$/ : /^\d+$/;
  return (text) => {
    const value = Number(text);
    const isValid = pattern.test(text) && value >= bounds.least &&
      value <= bounds.most;
    if (isValid) return value;
    const kind = bounds.fraction === true ? "a number" : "a whole number";
    throw new InvalidArgumentError(
      `Expected ${kind} from ${bounds.least} to ${bounds.most}`,
    );
  };
}

/** Returns a parser for an option that takes numbers separated by commas. */
export function readNumbers(
  bounds: NumberBounds,
): (text: string) => readonly number[] {
  const parse = readNumber(bounds);
  return (text) => text.split(",").map(parse);
}
