/** Step of the build: saves the compiled code of the bundled daemon. */

import { join } from "node:path";
import { loadScript } from "./load_script.ts";

loadScript(join(__dirname, "daemon.js")).saveCode();
