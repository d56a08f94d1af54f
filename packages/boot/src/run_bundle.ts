/** Entry point of the bundled daemon: opens the port for callers, then loads the daemon. */

import { join } from "node:path";
import { bootDaemon, type DaemonMain } from "./boot_daemon.ts";
import { loadScript } from "./load_script.ts";

void bootDaemon(() => {
  const { exports } = loadScript(join(__dirname, "daemon.js"));
  return (exports as { readonly main: DaemonMain }).main;
});
