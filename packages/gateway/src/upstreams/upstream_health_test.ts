import { test } from "tap";
import { UpstreamHealth } from "./upstream_health.ts";

test("consecutive failures lengthen the backoff, and a success resets it", (t) => {
  const health = new UpstreamHealth();
  t.notOk(health.isBackingOff(0));
  health.recordFailure(0);
  t.ok(health.isBackingOff(199));
  t.notOk(health.isBackingOff(200));
  health.recordFailure(200);
  t.ok(health.isBackingOff(599));
  t.ok(health.isOnProbation(1_000));
  health.recordTime(50, 1_000);
  t.notOk(health.isOnProbation(1_000));
  health.recordFailure(2_000);
  t.notOk(health.isBackingOff(2_200));
  t.end();
});

test("requests that fail together count as one failure", (t) => {
  const health = new UpstreamHealth();
  for (let request = 0; request < 8; request++) health.recordFailure(request);
  t.equal(health.failures, 1);
  t.notOk(health.isBackingOff(200));
  t.end();
});

test("probation ends without a success, so that no upstream is excluded forever", (t) => {
  const health = new UpstreamHealth();
  health.recordFailure(0);
  t.ok(health.isOnProbation(4_199));
  t.notOk(health.isOnProbation(4_200));
  t.end();
});

test("a request that is pending for long raises the expected answer time", (t) => {
  const health = new UpstreamHealth();
  const request = {};
  health.recordTime(50, 0);
  health.recordSent(request, 0);
  t.equal(health.findExpectedTime(20, 50), 50);
  t.equal(health.findExpectedTime(900, 50), 900);
  health.recordSettled(request);
  t.equal(health.findExpectedTime(900, 50), 50);
  t.end();
});

test("a full upstream does not count as failed", (t) => {
  const health = new UpstreamHealth();
  health.markFull(0, 60);
  t.ok(health.isFull(59));
  t.notOk(health.isFull(60));
  t.notOk(health.isOnProbation(0));
  t.end();
});
