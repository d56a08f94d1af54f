import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "@mallowlift/core";
import type { OpaqueUpstream } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import type { GatewaySite } from "./gateway_site.ts";
import { startTestSite } from "./start_test_site.ts";

const SCRIPT = require.resolve("@mallowlift/cli/bin/mallowctl.js");
const PAGE = join(__dirname, "../../../../docs/OPERATIONS.md");

interface OperatedSite {
  readonly site: GatewaySite;
  readonly upstream: OpaqueUpstream;
  readonly logPath: string;
  readonly storeLogPaths: readonly string[];
  readonly url: string;
}

async function start(t: Test): Promise<OperatedSite> {
  const { site, upstreams, url, folder } = await startTestSite(t);
  const [upstream] = upstreams;
  if (upstream === undefined) throw new Error("The site has no upstream");
  return {
    site,
    upstream,
    url,
    logPath: join(folder, "gateway-0.log"),
    storeLogPaths: site.stores.map(({ name }) => join(folder, `${name}.log`)),
  };
}

/** Waits until the end of the call is logged, then runs `mallowctl explain` on it. */
async function explain(
  logPath: string,
  call: string,
  otherLogPaths: readonly string[] = [],
): Promise<string> {
  while (!/(Call ended|Request refused)/.test(findLines(logPath, call))) {
    await sleep(50);
  }
  return execFileSync(
    process.execPath,
    [SCRIPT, "explain", call, logPath, ...otherLogPaths],
    { encoding: "utf8" },
  );
}

function findLines(logPath: string, call: string): string {
  const lines = readFileSync(logPath, "utf8").split("\n");
  return lines.filter((line) => line.includes(`"call":"${call}"`)).join("\n");
}

/** Checks that docs/OPERATIONS.md names the code and `mallowctl explain`. */
function checkPage(t: Test, code: string): void {
  const page = readFileSync(PAGE, "utf8");
  t.ok(page.includes(`\`${code}\``), `the page explains ${code}`);
  t.ok(page.includes("mallowctl explain"), "the page names the command");
}

test("a turn refused because the stores lost their quorum", async (t) => {
  const { site, url, logPath } = await start(t);
  for (const store of site.stores.slice(0, 2)) await site.kill(store);
  const result = await callGateway(url, { callId: "q1", path: "/stream/x" });
  t.equal(result.status, 503);
  t.ok(Number(result.retryAfter) > 0);
  const explanation = await explain(logPath, "q1");
  t.match(explanation, /Turn refused/);
  t.match(explanation, /NO_QUORUM, so it did not run/);
  checkPage(t, "NO_QUORUM");
});

test("a write whose upstream broke the connection", async (t) => {
  const { upstream, url, logPath } = await start(t);
  upstream.faults.dropsAnswers = true;
  const result = await callGateway(url, { callId: "w1", path: "/write/x" });
  t.equal(result.status, 502);
  const explanation = await explain(logPath, "w1");
  t.match(explanation, /ANSWER_SPOILED, so it may have run/);
  t.match(explanation, /the last attempt, at u-1, ended as lost/);
  checkPage(t, "ANSWER_SPOILED");
});

test("a turn refused because its program has spent its budget", async (t) => {
  const { url, logPath, storeLogPaths } = await start(t);
  const callTurn = (callId: string) =>
    callGateway(url, {
      callId,
      path: "/stream/x",
      headers: {
        "x-program": "p",
        "x-token-budget": "5",
        "x-most-tokens": "6",
      },
    });
  t.equal((await callTurn("b1")).status, 200);
  t.equal((await callTurn("b2")).status, 402);
  while (!storeLogPaths.some((path) => findLines(path, "b2") !== "")) {
    await sleep(50);
  }
  const explanation = await explain(logPath, "b2", storeLogPaths);
  t.match(explanation, /BUDGET_EXCEEDED, so it did not run/);
  t.match(
    explanation,
    /of 5 tokens 6 were spent and 0 reserved for 0 open turns/,
  );
  checkPage(t, "BUDGET_EXCEEDED");
});
