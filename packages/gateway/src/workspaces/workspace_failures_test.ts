import { createMetrics } from "@mallowlift/core";
import { test } from "tap";
import { WorkspaceFailures } from "./workspace_failures.ts";

const MAX_SERIES = 201;

test("any number of workspaces creates a bounded number of time series", async (t) => {
  const metrics = createMetrics();
  const failures = new WorkspaceFailures(metrics);
  for (let number = 0; number < 2 * MAX_SERIES; number++) {
    failures.record(`workspace-${number}`, "QUOTA_EXCEEDED");
  }
  failures.record("workspace-0", "QUOTA_EXCEEDED");
  const { values } = await metrics.workspaceFailures.get();
  t.equal(values.length, MAX_SERIES);
  const first = values.find(({ labels }) => labels.workspace === "workspace-0");
  t.equal(first?.value, 2);
});
