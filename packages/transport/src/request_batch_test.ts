import { test } from "tap";
import { RequestBatch } from "./request_batch.ts";

// Guards against urgent requests that wait for long iterations of a slow process.
test("fewer requests are started while iterations are long, and all again later", (t) => {
  const batch = new RequestBatch();
  t.equal(batch.size, 16);
  batch.recordIteration(20);
  t.equal(batch.size, 8);
  for (let count = 0; count < 20; count++) batch.recordIteration(200);
  t.equal(batch.size, 4, "never fewer than a few");
  for (let count = 0; count < 12; count++) batch.recordIteration(5);
  t.equal(batch.size, 16);
  t.end();
});
