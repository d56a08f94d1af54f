/** Clusters that end with their tests. */

import type { Test } from "tap";
import { type ClusterOptions, TestCluster } from "./test_cluster.ts";

/** Makes a cluster that is stopped when its test ends, whichever way. */
export function createCluster(t: Test, options: ClusterOptions): TestCluster {
  const made: TestCluster[] = [];
  // Tear-downs run in order: the replicas stop before their folder goes.
  t.teardown(() => Promise.all(made.map((cluster) => cluster.stop())));
  const cluster = new TestCluster(t.testdir(), options);
  made.push(cluster);
  return cluster;
}
