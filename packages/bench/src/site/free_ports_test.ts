import { execFileSync } from "node:child_process";
import process from "node:process";
import { test } from "tap";
import { findFreePorts } from "./free_ports.ts";

/** Ports of a block, and blocks, as in the module. */
const PORTS_PER_BLOCK = 256;
const BLOCKS = 64;

/** Prints a port that another process finds which would choose the same block. */
const OTHER = `
  Object.defineProperty(process, "pid", { value: ${process.pid + BLOCKS} });
  const { findFreePorts } = require(${
  JSON.stringify(require.resolve("./free_ports.js"))
});
  findFreePorts(1).then(([port]) => process.stdout.write(String(port)));
`;

test("two processes never share a block of ports", async (t) => {
  const [own = 0] = await findFreePorts(1);
  const other = Number(
    execFileSync(process.execPath, ["-e", OTHER], { encoding: "utf8" }),
  );
  t.ok(other > 0);
  t.not(
    Math.floor(other / PORTS_PER_BLOCK),
    Math.floor(own / PORTS_PER_BLOCK),
  );
});

test("the ports of one process differ", async (t) => {
  const ports = await findFreePorts(20);
  t.equal(new Set(ports).size, 20);
});
