import { performance } from "node:perf_hooks";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
import { test } from "tap";
import { RequestQueue } from "./request_queue.ts";

/** Most requests that are started in one iteration of the event loop. */
const MOST = 16;

// Guards against replication that waits for all requests that have arrived.
test("a burst of requests is spread over iterations of the event loop", async (t) => {
  const queue = new RequestQueue();
  let started = 0;
  const results = Array.from({ length: 100 }, (_, number) =>
    queue.run(() => {
      started++;
      return Promise.resolve(number);
    }));
  t.equal(started, MOST, "the first start at once");
  let before = started;
  while (queue.length > 0) {
    await yieldToEventLoop();
    t.ok(started - before <= MOST);
    before = started;
  }
  t.same(await Promise.all(results), results.map((_, number) => number));
});

test("requests start in order, and a failure ends only its own", async (t) => {
  const queue = new RequestQueue();
  const started: number[] = [];
  const results = Array.from({ length: 40 }, (_, number) =>
    queue.run(() => {
      started.push(number);
      return number === 20
        ? Promise.reject(new Error("Refused"))
        : Promise.resolve(number);
    }));
  const settled = await Promise.allSettled(results);
  t.same(started, results.map((_, number) => number));
  t.same(
    settled.flatMap(({ status }, number) =>
      status === "rejected" ? [number] : []
    ),
    [20],
  );
  t.equal(queue.length, 0);
});

test("later requests start at once while none wait", async (t) => {
  const queue = new RequestQueue();
  for (let round = 0; round < 3; round++) {
    let isStarted = false;
    void queue.run(() => {
      isStarted = true;
      return Promise.resolve();
    });
    t.ok(isStarted);
    await yieldToEventLoop();
    await yieldToEventLoop();
    await yieldToEventLoop();
  }
});

// Guards against requests that wait behind those that are refused.
test("refused requests take no place of those that start", async (t) => {
  const queue = new RequestQueue();
  const started: number[] = [];
  const results = Array.from({ length: 60 }, (_, number) =>
    queue.run(() => {
      started.push(number);
      return Promise.resolve("started");
    }, () => number % 4 === 0 ? undefined : "refused"));
  t.equal(started.length, 15, "all that start do so at once");
  const ended = await Promise.all(results);
  t.equal(ended.filter((result) => result === "refused").length, 45);
});

// Guards against urgent requests that wait behind a burst of a lesser class.
test("the more urgent requests of a burst start first, in order of arrival", async (t) => {
  const queue = new RequestQueue();
  const started: string[] = [];
  const add = (name: string, order: number) =>
    queue.run(
      () => {
        started.push(name);
        return Promise.resolve();
      },
      undefined,
      { order },
    );
  const results = Array.from({ length: 200 }, (_, at) => add(`new ${at}`, 5));
  for (let at = 0; at < 20; at++) {
    results.push(add(`urgent ${at}`, 1), add(`end ${at}`, 0));
  }
  await Promise.all(results);
  const lastOf = (name: string) =>
    started.findLastIndex((other) => other.startsWith(name));
  t.ok(lastOf("end") < MOST + 24, `ends are ${lastOf("end")}`);
  t.ok(lastOf("urgent") < MOST + 48, `urgent ones are ${lastOf("urgent")}`);
  for (const name of ["new", "urgent", "end"]) {
    const numbers = started.filter((other) => other.startsWith(name));
    t.same(numbers, numbers.map((_, at) => `${name} ${at}`));
  }
});

test("the wait of an order is that of its oldest request", async (t) => {
  const queue = new RequestQueue();
  const addedAt = performance.now();
  const add = (order: number) =>
    queue.run(() => Promise.resolve(), undefined, { order });
  const results = Array.from({ length: 2 * MOST }, () => add(1));
  t.equal(queue.findWait(0, addedAt + 300), 0, "none of this order waits");
  const wait = queue.findWait(1, addedAt + 300);
  t.ok(wait > 0 && wait <= 300, `${wait} ms`);
  await Promise.all(results);
  t.equal(queue.findWait(1, addedAt + 300), 0);
});

test("a request starts in the end while more urgent ones keep arriving", async (t) => {
  const queue = new RequestQueue();
  const add = (order: number) =>
    queue.run(() => Promise.resolve(order), undefined, { order });
  for (let count = 0; count < 100; count++) void add(0);
  let isStarted = false;
  void add(1).then(() => isStarted = true);
  let iterations = 0;
  for (; !isStarted && iterations < 1_000; iterations++) {
    for (let count = 0; count < 2 * MOST; count++) void add(0);
    await yieldToEventLoop();
  }
  t.ok(isStarted, `after ${iterations} iterations`);
  t.ok(queue.length > MOST, "others have waited throughout");
  while (queue.length > 0) await yieldToEventLoop();
});
