import { readdirSync } from "node:fs";
import { test } from "tap";
import { waitUntilWritable } from "./wait_until_writable.ts";

test("a replica waits for a full disk, and says so once", async (t) => {
  const reasons: string[] = [];
  let tries = 0;
  await waitUntilWritable(t.testdir(), {
    onRefused: (reason) => reasons.push(reason),
    signal: new AbortController().signal,
    tryWrite: () => {
      if (++tries < 3) return Promise.reject(new Error("ENOSPC"));
      return Promise.resolve();
    },
  });
  t.equal(tries, 3);
  t.same(reasons, ["ENOSPC"]);
});

test("a disk that takes bytes is left as it was", async (t) => {
  const folder = t.testdir();
  await waitUntilWritable(folder, {
    onRefused: (reason) => t.fail(reason),
    signal: new AbortController().signal,
  });
  t.same(readdirSync(folder), []);
});
