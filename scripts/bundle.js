/** Bundles the daemon with the platform's dialects into one file that starts fast. */

const { join } = require("node:path");
const { buildSync } = require("esbuild");

const root = join(__dirname, "..");

buildSync({
  entryPoints: [join(root, "platform", "src", "main.ts")],
  outfile: join(root, "target", "mallowlift.js"),
  bundle: true,
  platform: "node",
  target: "node20",
  // Add-ons that cbor-x and bunyan do without.
  external: ["cbor-extract", "dtrace-provider", "source-map-support"],
  // The sources of the packages, not what another build left of them.
  alias: Object.fromEntries(
    [
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
