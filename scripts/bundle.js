/**
 * Bundles the daemon with the platform's dialects: a small start script that
 * opens the callers' port, the daemon itself, and the daemon's V8 code cache.
 */

const { execFileSync } = require("node:child_process");
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { buildSync } = require("esbuild");

const root = join(__dirname, "..");
const target = join(root, "target");
const bootSources = join(root, "packages", "boot", "src");
/** Far longer than the step takes, ms. */
const SAVE_TIMEOUT_MILLISECONDS = 20_000;
const NODE_OPTIONS = /^run = "node ((?:--\S+ )*)target\//gm;

/** Bundles one script. */
function bundle(entryPoint, outputName) {
  buildSync({
    entryPoints: [entryPoint],
    outfile: join(target, outputName),
    bundle: true,
    platform: "node",
    target: "node20",
    // Optional add-ons; cbor-x and bunyan work without them.
    external: ["cbor-extract", "dtrace-provider", "source-map-support"],
    // Bundle from the sources, not from the possibly stale output of an earlier build.
    alias: Object.fromEntries(
      [
        "boot",
        "configuration",
        "consensus",
        "core",
        "daemon",
        "entry",
        "gateway",
        "membership",
        "programs",
        "replica",
        "scheduling",
        "sessions",
        "sidecar",
        "store",
        "transport",
      ].map((name) => [
        `@mallowlift/${name}`,
        join(root, "packages", name, "src", "mod.ts"),
      ]),
    ),
    // The UMD build of ts-results loads its modules in a way that bundlers
    // cannot analyze, so its ES module build is preferred.
    mainFields: ["module", "main"],
    tsconfig: join(root, "tsconfig.base.json"),
    logLevel: "warning",
  });
}

/**
 * Saves the code cache once for each set of Node options in the deployment, as
 * Node accepts a code cache only from a process with the same options.
 */
function saveCode() {
  const deploy = readFileSync(join(root, "deploy", "system.toml"), "utf8");
  const optionSets = [...deploy.matchAll(NODE_OPTIONS)].map((match) =>
    match[1]
  );
  for (const options of new Set(optionSets)) {
    const nodeArguments = options.split(" ").filter((option) => option !== "");
    try {
      execFileSync(process.execPath, [
        ...nodeArguments,
        join(target, "save_code.js"),
      ], {
        stdio: "inherit",
        timeout: SAVE_TIMEOUT_MILLISECONDS,
      });
    } catch (thrown) {
      // The daemon also starts without a code cache, only more slowly.
      process.stderr.write(`No full code cache: ${thrown.message}\n`);
    }
  }
}

bundle(join(root, "platform", "src", "main.ts"), "daemon.js");
bundle(join(bootSources, "run_bundle.ts"), "mallowlift.js");
bundle(join(bootSources, "save_code.ts"), "save_code.js");
saveCode();
