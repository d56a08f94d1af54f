import { performance } from "node:perf_hooks";
import { createMetrics, type Logger, SILENT_LOGGER } from "@mallowlift/core";
import { test } from "tap";
import { StallWatch } from "./stall_watch.ts";

test("a look that comes much too late tells how long the process stood still", async (t) => {
  const told: unknown[] = [];
  const logger: Logger = {
    ...SILENT_LOGGER,
    warn: (sentence, facts) => told.push([sentence, facts]),
  };
  const metrics = createMetrics();
  const watch = new StallWatch({ logger, metrics });
  const startedAt = performance.now();
  await watch.start();
  t.teardown(() => watch.stop());
  watch.look(startedAt + 1_200);
  t.same(told, [], "a busy process is not a frozen one");
  watch.look(startedAt + 1_200 + 1_000 + 6_000);
  t.same(told, [["Stood still", { milliseconds: 6_000 }]]);
  const counted = await metrics.stoodStillSeconds.get();
  t.equal(Math.round(counted.values[0]?.value ?? 0), 6);
});
