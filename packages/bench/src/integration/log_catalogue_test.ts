import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "tap";

const PACKAGES = join(__dirname, "../../..");
const PAGE = join(PACKAGES, "../docs/OPERATIONS.md");
/** A log call up to its sentence; the bench and the tools write no logs. */
const SENTENCE =
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

test("docs/OPERATIONS.md tells of every log message", (t) => {
  const page = readFileSync(PAGE, "utf8");
  const sentences = new Set<string>();
  for (const file of listSources(PACKAGES)) {
    for (const match of readFileSync(file, "utf8").matchAll(SENTENCE)) {
      for (const sentence of match.slice(1)) {
        if (sentence !== undefined) sentences.add(sentence);
      }
    }
  }
  t.ok(sentences.size > 30, "the sentences were found");
  for (const sentence of sentences) {
    t.ok(page.includes(`\`${sentence}\``), sentence);
  }
  t.end();
});
