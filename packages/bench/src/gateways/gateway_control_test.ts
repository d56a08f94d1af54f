import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { hashText, sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

const SCRIPT = require.resolve("@mallowlift/cli/bin/mallowctl.js");

interface CommandResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

function runMallowctl(
  entry: string,
  commandArguments: readonly string[],
): Promise<CommandResult> {
  const env = { ...process.env, MALLOWCTL_ENTRY: entry };
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [SCRIPT, ...commandArguments],
      { env },
      (error, output, errors) =>
        resolve({
          code: error === null ? 0 : Number(error.code),
          output,
          errors,
        }),
    );
  });
}

test("an operator reads and replaces the document, and retires a store", async (t) => {
  const { site, folder } = await startTestSite(t, { stores: 4 });
  const entry = site.gateways[0]?.operatorsUrl ?? "";
  const mallowctl = (...commandArguments: string[]) =>
    runMallowctl(entry, commandArguments);

  const shown = await mallowctl("routing", "show");
  t.match(shown.output, /Version 1/);
  t.match(shown.output, /a\.example\/read\//);
  const path = join(folder, "routing.json");
  writeFileSync(path, JSON.stringify({ ...TEST_DOCUMENT, version: 7 }));
  t.match(
    (await mallowctl("routing", "replace", path)).output,
    /Version 7 is in force/,
  );
  const workspaces = [{
    name: "north",
    keyDigests: [hashText("north-1")],
    ratePerSecond: 5,
    burst: 7,
  }];
  const withWorkspaces = { ...TEST_DOCUMENT, version: 8, workspaces };
  writeFileSync(path, JSON.stringify(withWorkspaces));
  await mallowctl("routing", "replace", path);
  const listed = await mallowctl("workspaces", "list");
  t.match(listed.output, /north +1 +of the route +5 +7/);
  t.notMatch(listed.output, hashText("north-1"));
  t.match((await mallowctl("workspaces", "describe", "north")).output, "north");
  t.equal((await mallowctl("workspaces", "describe", "east")).code, 4);
  writeFileSync(path, JSON.stringify({ ...TEST_DOCUMENT, version: 3 }));
  t.match(
    (await mallowctl("routing", "replace", path)).output,
    /Version 8 was newer/,
  );
  writeFileSync(
    path,
    JSON.stringify({ ...TEST_DOCUMENT, version: 9, services: [] }),
  );
  const invalid = await mallowctl("routing", "replace", path);
  t.equal(invalid.code, 1);
  t.match(invalid.errors, /INVALID_DOCUMENT/);

  writeFileSync(path, JSON.stringify({ ...TEST_DOCUMENT, version: 10 }));
  await mallowctl("routing", "replace", path);

  const unknown = await mallowctl("store", "retire", "nobody");
  t.match(unknown.errors, /DAEMON_NOT_FOUND/);
  const name = site.stores[0]?.name ?? "";
  t.equal((await mallowctl("store", "retire", name)).code, 0);
  t.equal(
    (await mallowctl("store", "retire", name)).code,
    0,
    "retiring a store again succeeds",
  );
  const secondName = site.stores[1]?.name ?? "";
  const tooFew = await mallowctl("store", "retire", secondName);
  t.match(tooFew.errors, /TOO_FEW_STORES/);
  let retirement = await mallowctl("store", "retirement", name);
  while (!retirement.output.includes("may be taken away")) {
    await sleep(100);
    retirement = await mallowctl("store", "retirement", name);
  }
  if (site.stores[0] !== undefined) await site.kill(site.stores[0], true);
  const url = site.gateways[0]?.callersUrl ?? "";
  const served = await callGateway(url, { callId: "a", path: "/stream/x" });
  t.equal(served.status, 200, "the remaining stores serve without it");
});
