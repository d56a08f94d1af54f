import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "tap";
import { loadScript } from "./load_script.ts";

function createScript(content: string): { path: string; remove(): void } {
  const folder = mkdtempSync(join(tmpdir(), "mallowlift-script-"));
  const path = join(folder, "script.js");
  writeFileSync(path, content);
  return { path, remove: () => rmSync(folder, { recursive: true }) };
}

test("a script runs the same with and without a code cache", (t) => {
  const script = createScript(
    "module.exports = { name: require('node:path').basename(__filename) };",
  );
  const first = loadScript(script.path);
  t.same(first.exports, { name: "script.js" });
  t.equal(first.isCached, false);
  first.saveCodeCache();
  const second = loadScript(script.path);
  t.same(second.exports, { name: "script.js" });
  t.equal(second.isCached, true);
  script.remove();
  t.end();
});

test("the code cache of another script is not used", (t) => {
  const script = createScript("module.exports = 1;");
  loadScript(script.path).saveCodeCache();
  writeFileSync(script.path, "module.exports = 'another script';");
  const loaded = loadScript(script.path);
  t.equal(loaded.exports, "another script");
  t.equal(loaded.isCached, false);
  script.remove();
  t.end();
});
