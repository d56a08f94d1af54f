/** Creates clusters that stop when their test ends. */

import type { Test } from "tap";
import { type ClusterOptions, TestCluster } from "./test_cluster.ts";

/** Creates a cluster that stops when its test ends, also if the test fails. */
export function createCluster(t: Test, options: ClusterOptions): TestCluster {
  const clusters: TestCluster[] = [];
  // Teardowns run in order, so the replicas stop before testdir() removes their folder.
  t.teardown(() => Promise.all(clusters.map((cluster) => cluster.stop())));
  const cluster = new TestCluster(t.testdir(), options);
  clusters.push(cluster);
  return cluster;
}
