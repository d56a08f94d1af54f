/**
 * Installs missing or outdated dependencies and builds all packages, so that
 * one command is enough on a fresh clone.
 */

const { execFileSync } = require("node:child_process");
const { existsSync, statSync } = require("node:fs");
const { join } = require("node:path");

const root = join(__dirname, "..");
const lockFile = join(root, "package-lock.json");
const installedLockFile = join(root, "node_modules", ".package-lock.json");

/** True if the dependencies are missing or older than the lock file. */
function isStale() {
  if (!existsSync(installedLockFile)) return true;
  return statSync(lockFile).mtimeMs > statSync(installedLockFile).mtimeMs;
}

/** Runs a command in the root folder with its output shown. */
function run(command, commandArguments) {
  execFileSync(command, commandArguments, { cwd: root, stdio: "inherit" });
}

if (isStale()) run("npm", ["ci"]);
run("node", [join(root, "node_modules", "typescript", "bin", "tsc"), "-b"]);
