import { test } from "tap";
import { LatestUpstreams } from "./latest_upstreams.ts";

test("the upstream of a program's latest turn is returned", (t) => {
  const latest = new LatestUpstreams();
  latest.record("p", "u-1");
  latest.record("q", "u-2");
  latest.record("p", "u-3");
  latest.record("p", "");
  t.equal(latest.find("p"), "u-3");
  t.equal(latest.find("q"), "u-2");
  t.equal(latest.find("unknown"), "");
  t.end();
});

test("the least recently updated programs are evicted first", (t) => {
  const latest = new LatestUpstreams();
  for (let program = 0; program < 20_001; program++) {
    latest.record(`p${program}`, "u-1");
  }
  t.equal(latest.find("p0"), "");
  t.equal(latest.find("p1"), "u-1");
  t.end();
});
