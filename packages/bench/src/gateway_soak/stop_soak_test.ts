import { test } from "tap";
import { runStopSoak, STOP_SOAK_SIZE } from "./run_stop_soak.ts";

const SECONDS = 12;
const CALLERS = 16;
const UPLOADERS = 45;
/** Violations that a failing test prints. */
const PRINTED = 20;

/** Regression seeds, each with the fault that made it fail; do not remove any. */
const SEEDS = [
  { seed: 1, cause: "requests ran and were cut by a stop without an answer" },
  { seed: 2, cause: "large bodies filled the memory of gateways" },
];

for (const { seed, cause } of SEEDS) {
  test(`what ran is answered around planned stops under seed ${seed}: ${cause}`, async (t) => {
    const result = await runStopSoak({
      seed,
      seconds: SECONDS,
      callers: CALLERS,
      uploaders: UPLOADERS,
      size: STOP_SOAK_SIZE,
      folder: t.testdir(),
    });
    t.same(result.broken.slice(0, PRINTED), []);
    t.equal(result.broken.length, 0);
    t.ok(result.calls > 0);
    t.ok((result.counts.get("status 200") ?? 0) > 0);
  });
}
