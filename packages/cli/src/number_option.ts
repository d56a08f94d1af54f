/** Numbers on a command line: a wrong one is an error, not a NaN. */

import { InvalidArgumentError } from "commander";

/** Bounds of a number. */
export interface NumberBounds {
  readonly least: number;
  readonly most: number;
  /** True if the number may have a fraction. */
  readonly fraction?: boolean;
}

/**
 * Makes the reader of an option that holds one number.
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
    const fits = pattern.test(text) && value >= bounds.least &&
      value <= bounds.most;
    if (fits) return value;
    const kind = bounds.fraction === true ? "A number" : "A whole number";
    throw new InvalidArgumentError(
      `${kind} from ${bounds.least} to ${bounds.most} is needed`,
    );
  };
}

/** Makes the reader of an option that holds numbers separated by commas. */
export function readNumbers(
  bounds: NumberBounds,
): (text: string) => readonly number[] {
  const read = readNumber(bounds);
  return (text) => text.split(",").map(read);
}
