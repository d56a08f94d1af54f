import { performance } from "node:perf_hooks";
import { createMetrics, type Logger, SILENT_LOGGER } from "@mallowlift/core";
import { test } from "tap";
import { StallWatch } from "./stall_watch.ts";

test("a check that comes much too late reports how long the process did not run", async (t) => {
  const warnings: unknown[] = [];
  const logger: Logger = {
    ...SILENT_LOGGER,
    warn: (message, fields) => warnings.push([message, fields]),
  };
  const metrics = createMetrics();
  const watch = new StallWatch({ logger, metrics });
  const startedAt = performance.now();
  await watch.start();
  t.teardown(() => watch.stop());
  watch.check(startedAt + 1_200);
  t.same(warnings, [], "a busy process is not reported as frozen");
  watch.check(startedAt + 1_200 + 1_000 + 6_000);
  t.same(warnings, [["Stood still", { milliseconds: 6_000 }]]);
  const counted = await metrics.processStallSeconds.get();
  t.equal(Math.round(counted.values[0]?.value ?? 0), 6);
});
