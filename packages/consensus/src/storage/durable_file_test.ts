import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "tap";
import { replaceFile } from "./durable_file.ts";

/** Part sizes below, at and above the size of the write buffer. */
const SIZES = [0, 1, 100_000, 262_143, 2, 262_144, 3, 262_145, 0, 1_500_000, 7];

test("a replaced file holds all parts in order", async (t) => {
  const path = join(t.testdir(), "file");
  const parts = SIZES.map((size, number) => Buffer.alloc(size, number + 1));
  await replaceFile(path, parts);
  t.ok(readFileSync(path).equals(Buffer.concat(parts)));
  await replaceFile(path, []);
  t.equal(readFileSync(path).length, 0);
});
