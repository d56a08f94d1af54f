/** Reads the options of Node.js with which a deployment starts its daemons. */

import { readFileSync } from "node:fs";
import { resolve } from "node:path";

const COMMAND = /^run = "node (.*) target\//m;
const HEAP_OPTION = /^--max-old-space-size=/;

/**
 * Returns the options of a role in `deploy/system.toml`.
 *
 * @example
 * ```ts
 * readDeployedOptions("gateway")[0]; // "--max-old-space-size=110"
 * ```
 */
export function readDeployedOptions(role: "gateway" | "store"): string[] {
  const deploy = readFileSync(resolve("deploy", "system.toml"), "utf8");
  const [, section = ""] = deploy.split(`[roles.${role}]`);
  const options = COMMAND.exec(section)?.[1];
  if (options === undefined) throw new Error(`No command of role ${role}`);
  return options.split(" ");
}

/** Returns the options of a role without the limit of its heap. */
export function readOptionsWithoutHeap(role: "gateway" | "store"): string[] {
  return readDeployedOptions(role).filter((each) => !HEAP_OPTION.test(each));
}
