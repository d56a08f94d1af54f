/** Fails if a name that belongs to the users' platform appears outside the allowed folders. */

const { execFileSync } = require("node:child_process");
const { existsSync, readFileSync } = require("node:fs");
const { join } = require("node:path");

const root = join(__dirname, "..");
const ALLOWED_FOLDER = /^(platform|deploy|docs|journal|release-notes)\//;
const CHECKED_FILE = /\.(ts|js|json|ini|toml|sh)$/;
const SELF = "scripts/check_names.js";
const HEADERS =
  /mallowlift-(request|program|session|finish|token|deadline|server|prompt|previous|expect|not-executed|hold|pin|instance|affinity|model|weight|length)/i;
const NAMES = new RegExp(
  [
    "Config\\.(Replace|Describe)",
    "Retire\\.(Start|Describe)",
    "kv-(move|list|events|handle|pin)",
    "v1/readiness",
    "MALLOWLIFT_CONFIG",
    "fleetbench",
    "firnwatch-shared",
    "ffd-suva",
    "retainContext|retentionS\\b|trafficSplit|targetLatencyMs",
  ].join("|"),
);

const files = execFileSync("git", ["ls-files"], { cwd: root, encoding: "utf8" })
  .split("\n")
  .filter((file) =>
    CHECKED_FILE.test(file) && !ALLOWED_FOLDER.test(file) && file !== SELF
  )
  .filter((file) => existsSync(join(root, file)));
let matchCount = 0;
for (const file of files) {
  const lines = readFileSync(join(root, file), "utf8").split("\n");
  for (const [index, line] of lines.entries()) {
    if (!NAMES.test(line) && !HEADERS.test(line)) continue;
    matchCount++;
    console.error(`${file}:${index + 1}: ${line.trim().slice(0, 100)}`);
  }
}
if (matchCount > 0) {
  console.error(
    `${matchCount} lines name what only platform/ and deploy/ may know`,
  );
  process.exit(1);
}
