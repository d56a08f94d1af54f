import { test } from "tap";
import { LatestUpstreams } from "./latest_upstreams.ts";

test("a program is remembered with the upstream of its latest turn", (t) => {
  const latest = new LatestUpstreams();
  latest.note("p", "u-1");
  latest.note("q", "u-2");
  latest.note("p", "u-3");
  latest.note("p", "");
  t.equal(latest.find("p"), "u-3");
  t.equal(latest.find("q"), "u-2");
  t.equal(latest.find("unknown"), "");
  t.end();
});

test("the programs that were seen longest ago are forgotten first", (t) => {
  const latest = new LatestUpstreams();
  for (let program = 0; program < 20_001; program++) {
    latest.note(`p${program}`, "u-1");
  }
  t.equal(latest.find("p0"), "");
  t.equal(latest.find("p1"), "u-1");
  t.end();
});
