/** Installs and builds what is missing, so that one command is enough on a fresh clone. */

const { execFileSync } = require("node:child_process");
const { existsSync, statSync } = require("node:fs");
const { join } = require("node:path");

const root = join(__dirname, "..");
const lockFile = join(root, "package-lock.json");
const installed = join(root, "node_modules", ".package-lock.json");

/** True if the lock file is newer than what is installed. */
function isStale() {
  if (!existsSync(installed)) return true;
  return statSync(lockFile).mtimeMs > statSync(installed).mtimeMs;
}

/** Runs a command in the root folder and shows what it prints. */
function run(command, commandArguments) {
  execFileSync(command, commandArguments, { cwd: root, stdio: "inherit" });
}

if (isStale()) run("npm", ["ci"]);
run("node", [join(root, "node_modules", "typescript", "bin", "tsc"), "-b"]);
