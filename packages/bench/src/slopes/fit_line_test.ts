import fc from "fast-check";
import { test } from "tap";
import { fitLine } from "./fit_line.ts";

const SEED = 1;

test("a fit through points on a line returns that line", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: -100, max: 100 }),
      fc.integer({ min: -9, max: 9 }),
      (intercept, slope) => {
        const points = [1, 2, 5, 9].map((size) => ({
          size,
          value: intercept + slope * size,
        }));
        const line = fitLine(points);
        return Math.abs(line.slope - slope) < 1e-9 &&
          Math.abs(line.intercept - intercept) < 1e-9 &&
          line.slopeError < 1e-9;
      },
    ),
    { seed: SEED },
  );
  t.end();
});
