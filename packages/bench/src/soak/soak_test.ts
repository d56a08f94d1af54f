import { test } from "tap";
import { runSoak } from "./run_soak.ts";

const SECONDS = 12;
const WORKERS = 6;

for (const seed of [11, 12]) {
  test(`every promise holds under the faults of seed ${seed}`, async (t) => {
    const result = await runSoak({
      seed,
      seconds: SECONDS,
      workers: WORKERS,
      folder: t.testdir(),
      print: () => undefined,
    });
    t.same(result.records.violations, []);
    t.ok(result.records.callCount > 0);
  });
}
