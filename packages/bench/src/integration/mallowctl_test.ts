import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { test } from "tap";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import { createProgram, startTestSite } from "./test_site.ts";

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
  const env = {
    ...process.env,
    MALLOWCTL_ENTRY: entry,
    MALLOWCTL_TOKEN: OPERATOR_TOKEN,
  };
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [SCRIPT, ...commandArguments],
      { env },
      (error, output, errors) => {
        const code = error === null ? 0 : Number(error.code);
        resolve({ code, output, errors });
      },
    );
  });
}

test("mallowctl", async (t) => {
  const folder = t.testdir();
  const running = await startTestSite(folder, { plan: { entries: 1 } });
  t.teardown(() => running.stop());
  const entry = running.site.entryUrls[0] ?? "";
  const mallowctl = (...commandArguments: string[]) =>
    runMallowctl(entry, commandArguments);

  await t.test("apply, get, list and delete check versions", async (t) => {
    const created = await mallowctl(
      "apply",
      "priority",
      "night",
      "--spec",
      '{"level": 3}',
    );
    t.match(created.output, /priority night has version 1/);
    const conflict = await mallowctl(
      "apply",
      "priority",
      "night",
      "--spec",
      '{"level": 4}',
      "--version",
      "9",
    );
    t.equal(conflict.code, 3);
    t.match(conflict.errors, /1007 VERSION_CONFLICT/);
    const order = [
      "apply",
      "priority",
      "night",
      "--spec",
      '{"level": 5}',
      "--version",
      "1",
      "--order",
      "o1",
    ];
    const first = await mallowctl(...order, "-o", "json");
    const again = await mallowctl(...order, "-o", "json");
    t.equal(again.output, first.output);
    const got = await mallowctl("-o", "json", "get", "priority", "night");
    t.equal(JSON.parse(got.output).spec.level, 5);
    t.match((await mallowctl("list", "priority")).output, /night\s+2/);
    t.equal((await mallowctl("delete", "priority", "night")).code, 0);
    t.equal((await mallowctl("get", "priority", "night")).code, 4);
  });

  await t.test("status shows members, leaders, followers and sidecars", async (t) => {
    await createProgram(running.client, "status");
    const { output } = await mallowctl("status");
    for (
      const expected of [
        "Revision in force",
        "replica-1:voter",
        "engine-1",
        "hall-kawah",
        "LEADER",
      ]
    ) {
      t.match(output, expected);
    }
  });

  await t.test("drain and drain --undo change the upstream", async (t) => {
    t.equal((await mallowctl("drain", "engine-1")).code, 0);
    t.equal(
      JSON.parse(
        (await mallowctl("-o", "json", "get", "upstream", "engine-1")).output,
      ).spec.drain,
      true,
    );
    t.equal((await mallowctl("drain", "engine-1", "--undo")).code, 0);
    t.equal((await mallowctl("drain", "absent")).code, 4);
  });

  await t.test("watch prints every change since a revision", async (t) => {
    const { output } = await mallowctl("watch", "--from", "0", "--count", "3");
    const revisions = output.trim().split("\n").map((line) =>
      JSON.parse(line).revision
    );
    t.same(revisions, [1, 2, 3]);
  });

  await t.test("mistakes have exit codes and clear messages", async (t) => {
    t.equal((await mallowctl("fly")).code, 2);
    t.equal((await mallowctl("apply", "priority", "x")).code, 2);
    t.equal(
      (await mallowctl("apply", "priority", "x", "--spec", "{broken")).code,
      2,
    );
    const refused = await mallowctl(
      "apply",
      "priority",
      "x",
      "--spec",
      '{"level": -1}',
    );
    t.equal(refused.code, 1);
    t.match(refused.errors, /1003 INVALID_FIELD/);
    t.equal((await runMallowctl("http://127.0.0.1:1", ["status"])).code, 5);
    const path = join(folder, "wrong.ini");
    writeFileSync(path, "[daemon]\nname =\n");
    const checked = await mallowctl("check-settings", path);
    t.equal(checked.code, 2);
    t.match(checked.output, /\[network\] shared_key: nothing was read/);
    const valid = join(folder, "settings", "entry-1.ini");
    t.equal((await mallowctl("check-settings", valid)).code, 0);
    t.match((await mallowctl("--help")).output, /Examples:/);
  });
});
