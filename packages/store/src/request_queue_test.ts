import { performance } from "node:perf_hooks";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
import { test } from "tap";
import { RequestQueue } from "./request_queue.ts";

/** Occupies the thread, ms. */
function work(milliseconds: number): Promise<number> {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
  return Promise.resolve(milliseconds);
}

// Guards against replication that waits for all requests that have arrived.
test("other events are handled between the requests of a burst", async (t) => {
  const queue = new RequestQueue();
  const results = Array.from(
    { length: 30 },
    () => queue.run(() => work(2)),
  );
  let iterations = 0;
  let lengths = 0;
  while (queue.length > 0) {
    await yieldToEventLoop();
    iterations++;
    lengths += queue.length;
  }
  t.ok(iterations >= 5, `${iterations} iterations`);
  t.ok(lengths > 0, "requests wait meanwhile");
  t.same(await Promise.all(results), Array(30).fill(2));
});

test("requests start in order, and a failure ends only its own", async (t) => {
  const queue = new RequestQueue();
  const started: number[] = [];
  const results = [1, 2, 3].map((number) =>
    queue.run(() => {
      started.push(number);
      return number === 2
        ? Promise.reject(new Error("Refused"))
        : Promise.resolve(number);
    })
  );
  const settled = await Promise.allSettled(results);
  t.same(started, [1, 2, 3]);
  t.same(settled.map(({ status }) => status), [
    "fulfilled",
    "rejected",
    "fulfilled",
  ]);
  t.equal(queue.length, 0);
});
