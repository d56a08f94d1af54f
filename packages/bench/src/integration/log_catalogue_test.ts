import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "tap";

const PACKAGES = join(__dirname, "../../..");
const PAGE = join(PACKAGES, "../docs/OPERATIONS.md");
/**
 * A log call up to its message, which may be a choice of two. The bench and the
 * tools write no logs.
 */
const LOG_CALL =
  /logger(?:\.forPart\([^)]*\))?\.(?:debug|info|warn|error)\(\s*(?:[^"()]*\?\s*)?"([^"]+)"(?:\s*:\s*"([^"]+)")?/g;

function listSources(folder: string): readonly string[] {
  const files: string[] = [];
  for (const entry of readdirSync(folder, { withFileTypes: true })) {
    if (entry.name === "dist" || entry.name === "node_modules") continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) files.push(...listSources(path));
    else if (/(?<!_test)\.ts$/.test(entry.name)) files.push(path);
  }
  return files;
}

test("docs/OPERATIONS.md lists every log message", (t) => {
  const page = readFileSync(PAGE, "utf8");
  const messages = new Set<string>();
  for (const file of listSources(PACKAGES)) {
    for (const match of readFileSync(file, "utf8").matchAll(LOG_CALL)) {
      for (const message of match.slice(1)) {
        if (message !== undefined) messages.add(message);
      }
    }
  }
  t.ok(messages.size > 30, "the log messages were found");
  for (const message of messages) {
    t.ok(page.includes(`\`${message}\``), message);
  }
  t.end();
});
