import { readdirSync } from "node:fs";
import { test } from "tap";
import { waitUntilWritable } from "./wait_until_writable.ts";

test("the wait retries on a full disk and reports the failure once", async (t) => {
  const reasons: string[] = [];
  let tries = 0;
  await waitUntilWritable(t.testdir(), {
    onWriteFailure: (reason) => reasons.push(reason),
    signal: new AbortController().signal,
    tryWrite: () => {
      if (++tries < 3) return Promise.reject(new Error("ENOSPC"));
      return Promise.resolve();
    },
  });
  t.equal(tries, 3);
  t.same(reasons, ["ENOSPC"]);
});

test("the probe leaves no file behind on a writable disk", async (t) => {
  const folder = t.testdir();
  await waitUntilWritable(folder, {
    onWriteFailure: (reason) => t.fail(reason),
    signal: new AbortController().signal,
  });
  t.same(readdirSync(folder), []);
});
