import { test } from "tap";
import { UpstreamHealth } from "./upstream_health.ts";

test("failures in a row rest an upstream longer, a success ends it", (t) => {
  const health = new UpstreamHealth();
  t.notOk(health.isResting(0));
  health.noteFailure(0);
  t.ok(health.isResting(199));
  t.notOk(health.isResting(200));
  health.noteFailure(200);
  t.ok(health.isResting(599));
  t.ok(health.isOnProbation(1_000));
  health.noteTime(50, 1_000);
  t.notOk(health.isOnProbation(1_000));
  health.noteFailure(2_000);
  t.notOk(health.isResting(2_200));
  t.end();
});

test("requests that fail together count once", (t) => {
  const health = new UpstreamHealth();
  for (let request = 0; request < 8; request++) health.noteFailure(request);
  t.equal(health.failures, 1);
  t.notOk(health.isResting(200));
  t.end();
});

test("probation ends by itself, so that nothing is shut out for ever", (t) => {
  const health = new UpstreamHealth();
  health.noteFailure(0);
  t.ok(health.isOnProbation(4_199));
  t.notOk(health.isOnProbation(4_200));
  t.end();
});

test("a request that waits long tells against its upstream before it ends", (t) => {
  const health = new UpstreamHealth();
  const request = {};
  health.noteTime(50, 0);
  health.noteSent(request, 0);
  t.equal(health.findExpected(20, 50), 50);
  t.equal(health.findExpected(900, 50), 900);
  health.noteHeard(request);
  t.equal(health.findExpected(900, 50), 50);
  t.end();
});

test("being full is no failure", (t) => {
  const health = new UpstreamHealth();
  health.noteFull(0, 60);
  t.ok(health.isFull(59));
  t.notOk(health.isFull(60));
  t.notOk(health.isOnProbation(0));
  t.end();
});
