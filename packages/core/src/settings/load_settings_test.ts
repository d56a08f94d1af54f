import fc from "fast-check";
import { test } from "tap";
import { describeMistake, parseSettings } from "./load_settings.ts";

const SEED = 1;
const VALID_SETTINGS = [
  "[daemon]",
  "name = entry-1",
  "roles = entry",
  "failure_domain = hall-kawah",
  "[network]",
  "shared_key = secret",
  "replicas = r1=127.0.0.1:7101,r2=127.0.0.1:7102",
  "[entry]",
  `operator_token_sha256 = ${"0".repeat(64)}`,
].join("\n");

test("valid settings are read with their defaults", (t) => {
  const settings = parseSettings(VALID_SETTINGS).unwrap();
  t.same(settings.daemon.roles, ["entry"]);
  t.equal(settings.network.programGroups, 4);
  t.equal(settings.network.replicas[1]?.address, "127.0.0.1:7102");
  t.equal(settings.entry.httpListen, "127.0.0.1:8080");
  t.end();
});

test("every mistake is listed with what was read and what is allowed", (t) => {
  const text = VALID_SETTINGS.replace("roles = entry", "roles = entri")
    .replace("[entry]", "[entry]\nmax_body_bytes = many\nspeed = 3")
    .concat("\n[extra]\nkey = 1");
  const mistakes = parseSettings(text);
  t.ok(mistakes.err);
  const lines = (mistakes.err ? mistakes.val : []).map(describeMistake);
  t.match(lines.find((line) => line.includes("roles")), /"entri" was read/);
  t.match(
    lines.find((line) => line.includes("[entry] max_body_bytes")),
    /from 1024/,
  );
  t.ok(lines.some((line) => line.includes("[entry] speed")));
  t.ok(lines.some((line) => line.includes("[extra] key")));
  t.equal(lines.length, 4);
  t.end();
});

test("a missing key that a role requires is reported", (t) => {
  const mistakes = parseSettings(
    VALID_SETTINGS.replace("entry\n", "entry, replica\n"),
  );
  t.ok(mistakes.err);
  const keys = (mistakes.err ? mistakes.val : []).map((mistake) => mistake.key);
  t.same(keys, ["id", "data_folder"]);
  t.end();
});

test("parsing settings never throws", (t) => {
  const section = fc.constantFrom(
    "[daemon]",
    "[network]",
    "[x",
    "[__proto__]",
    "=",
    "a.b",
  );
  const line = fc.oneof(
    section,
    fc.string(),
    fc.tuple(fc.string(), fc.string()).map((pair) => pair.join("=")),
  );
  fc.assert(
    fc.property(fc.array(line, { maxLength: 30 }), (lines) => {
      parseSettings(lines.join("\n"));
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});
