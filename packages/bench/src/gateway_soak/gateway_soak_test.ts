import { test } from "tap";
import { runGatewaySoak } from "./run_gateway_soak.ts";
import { DEFAULT_SIZE } from "./soak_site.ts";

const SECONDS = 10;
const CALLERS = 8;

/** Regression seeds, each with the fault that made it fail; do not remove any. */
const SEEDS = [
  { seed: 1, cause: "a spare store that had lost its disk was never healthy" },
  { seed: 106, cause: "a restarted store received no more entries" },
  {
    seed: 111,
    cause: "a restarted store received no more entries after another fault",
  },
];

for (const { seed, cause } of SEEDS) {
  test(`promises of gateways hold under seed ${seed}: ${cause}`, async (t) => {
    const result = await runGatewaySoak({
      seed,
      seconds: SECONDS,
      callers: CALLERS,
      size: DEFAULT_SIZE,
      folder: t.testdir(),
      print: () => undefined,
    });
    t.same(result.broken, []);
    t.ok(result.calls > 0);
  });
}
