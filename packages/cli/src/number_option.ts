/** Parsers for numbers on a command line; an invalid number is an error instead of NaN. */

import { InvalidArgumentError } from "commander";

/** Inclusive bounds of a number. */
export interface NumberBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** True if the number may have a fraction. */
  readonly allowsFraction?: boolean;
}

/**
 * Returns a parser for an option that takes one number. The parser throws
 * {@linkcode InvalidArgumentError} for other text and for numbers out of bounds.
 *
 * @example
 * ```ts
 * new Command().option("--seed <n>", "seed", createNumberParser({ minimum: 0, maximum: 9 }), 1);
 * ```
 */
export function createNumberParser(
  bounds: NumberBounds,
): (text: string) => number {
  const pattern = bounds.allowsFraction === true ? /^\d+(\.\d+)?$/ : /^\d+$/;
  return (text) => {
    const value = Number(text);
    const isValid = pattern.test(text) && value >= bounds.minimum &&
      value <= bounds.maximum;
    if (isValid) return value;
    const kind = bounds.allowsFraction === true ? "a number" : "a whole number";
    throw new InvalidArgumentError(
      `Expected ${kind} from ${bounds.minimum} to ${bounds.maximum}`,
    );
  };
}

/** Returns a parser for an option that takes numbers separated by commas. */
export function createNumberListParser(
  bounds: NumberBounds,
): (text: string) => readonly number[] {
  const parse = createNumberParser(bounds);
  return (text) => text.split(",").map(parse);
}
