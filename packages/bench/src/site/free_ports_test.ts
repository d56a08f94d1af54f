import { execFileSync } from "node:child_process";
import process from "node:process";
import { test } from "tap";
import { findFreePorts } from "./free_ports.ts";

/** Number of ports in a block and number of blocks, as in the module. */
const PORTS_PER_BLOCK = 256;
const BLOCKS = 64;

/** Script of a process whose id maps to the same block; it prints a free port. */
const OTHER_PROCESS_SCRIPT = `
  Object.defineProperty(process, "pid", { value: ${process.pid + BLOCKS} });
  const { findFreePorts } = require(${
  JSON.stringify(require.resolve("./free_ports.js"))
});
  findFreePorts(1).then(([port]) => process.stdout.write(String(port)));
`;

test("two processes never use the same block of ports", async (t) => {
  const [own = 0] = await findFreePorts(1);
  const other = Number(
    execFileSync(process.execPath, ["-e", OTHER_PROCESS_SCRIPT], {
      encoding: "utf8",
    }),
  );
  t.ok(other > 0);
  t.not(
    Math.floor(other / PORTS_PER_BLOCK),
    Math.floor(own / PORTS_PER_BLOCK),
  );
});

test("the ports of one process are distinct", async (t) => {
  const ports = await findFreePorts(20);
  t.equal(new Set(ports).size, 20);
});
