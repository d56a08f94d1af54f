import fc from "fast-check";
import { test } from "tap";
import {
  EMPTY_HISTORY_DIGEST,
  extendDigest,
  serializeStable,
} from "./digest.ts";

const SEED = 1;

test("equal values serialize to equal text regardless of the order of keys", (t) => {
  fc.assert(
    fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (value) => {
      const reversed = Object.fromEntries(Object.entries(value).toReversed());
      return serializeStable(value) === serializeStable(reversed);
    }),
    { seed: SEED },
  );
  t.end();
});

test("a digest depends on every turn and on the order of turns", (t) => {
  const fold = (turns: readonly unknown[]) =>
    turns.reduce<string>(extendDigest, EMPTY_HISTORY_DIGEST);
  fc.assert(
    fc.property(
      fc.array(fc.string(), { minLength: 2, maxLength: 8 }),
      (turns) => {
        const swapped = [turns[1], turns[0], ...turns.slice(2)];
        const isSame = turns[0] === turns[1];
        return (fold(turns) === fold(swapped)) === isSame &&
          fold(turns) !== fold(turns.slice(1));
      },
    ),
    { seed: SEED },
  );
  t.end();
});
