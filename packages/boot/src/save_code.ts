/** Build step: saves the code cache of the bundled daemon. */

import { join } from "node:path";
import { loadScript } from "./load_script.ts";

loadScript(join(__dirname, "daemon.js")).saveCodeCache();
