import { spawnSync } from "node:child_process";
import { join } from "node:path";
import { test } from "tap";
import { createNumberListParser, createNumberParser } from "@mallowlift/cli";

test("number options accept only numbers within their bounds", (t) => {
  const read = createNumberParser({ minimum: 1, maximum: 10 });
  t.equal(read("10"), 10);
  for (const invalid of ["abc", "", "0", "11", "1.5", "1e1", "-1", "NaN"]) {
    t.throws(
      () => read(invalid),
      { code: "commander.invalidArgument" },
      invalid,
    );
  }
  t.equal(
    createNumberParser({ minimum: 0, maximum: 1, allowsFraction: true })("0.9"),
    0.9,
  );
  t.same(createNumberListParser({ minimum: 1, maximum: 3 })("1,2"), [1, 2]);
  t.throws(() => createNumberListParser({ minimum: 1, maximum: 3 })("1,x"));
  t.end();
});

test("an invalid option ends a tool with an error and a nonzero exit code", (t) => {
  const run = (script: string, ...scriptArguments: string[]) =>
    spawnSync(process.execPath, [
      join(__dirname, "..", script),
      ...scriptArguments,
    ], {
      encoding: "utf8",
    });
  const cases = [
    ["policy/bench_policy.js", "--policy", "round-robin"],
    ["policy/bench_policy.js", "--seeds", "1,b"],
    ["policy/bench_policy.js", "--load", "much"],
    ["soak/soak.js", "--seed", "abc"],
    ["path/bench_path.js", "--seconds", "-"],
    ["recovery/bench_recovery.js", "--rounds", "x"],
  ] as const;
  for (const [script, ...scriptArguments] of cases) {
    const result = run(script, ...scriptArguments);
    t.not(result.status, 0, scriptArguments.join(" "));
    t.match(result.stderr, /error: option/, scriptArguments.join(" "));
    t.equal(result.stdout, "");
  }
  t.end();
});
