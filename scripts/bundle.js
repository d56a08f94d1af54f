/**
 * Bundles the daemon with the platform's dialects: a small script that opens
 * the callers' port, the daemon itself, and its compiled code.
 */

const { execFileSync } = require("node:child_process");
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { buildSync } = require("esbuild");

const root = join(__dirname, "..");
const target = join(root, "target");
const bootSources = join(root, "packages", "boot", "src");
const NODE_OPTIONS = /^run = "node ((?:--\S+ )*)target\//gm;

/** Bundles one script. */
function bundle(entryPoint, outputName) {
  buildSync({
    entryPoints: [entryPoint],
    outfile: join(target, outputName),
    bundle: true,
    platform: "node",
    target: "node20",
    // Add-ons that cbor-x and bunyan do without.
    external: ["cbor-extract", "dtrace-provider", "source-map-support"],
    // The sources of the packages, not what another build left of them.
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
    // ts-results finds its parts in a way that no bundler can follow; its other
    // build has none of that.
    mainFields: ["module", "main"],
    tsconfig: join(root, "tsconfig.base.json"),
    logLevel: "warning",
  });
}

/** Compiled code is only taken by a Node that runs with the same options. */
function saveCode() {
  const deploy = readFileSync(join(root, "deploy", "system.toml"), "utf8");
  const all = [...deploy.matchAll(NODE_OPTIONS)].map((match) => match[1]);
  for (const options of new Set(all)) {
    const words = options.split(" ").filter((word) => word !== "");
    execFileSync(process.execPath, [...words, join(target, "save_code.js")], {
      stdio: "inherit",
    });
  }
}

bundle(join(root, "platform", "src", "main.ts"), "daemon.js");
bundle(join(bootSources, "run_bundle.ts"), "mallowlift.js");
bundle(join(bootSources, "save_code.ts"), "save_code.js");
saveCode();
