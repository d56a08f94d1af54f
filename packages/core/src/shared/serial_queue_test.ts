import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { SerialQueue } from "./serial_queue.ts";

test("tasks run one after another, also after a failed one", async (t) => {
  const queue = new SerialQueue();
  const steps: string[] = [];
  const work = (name: string, isFailing = false) => async () => {
    steps.push(`${name} begins`);
    await sleep(1);
    steps.push(`${name} ends`);
    if (isFailing) throw new Error(name);
  };
  const first = queue.run(work("first", true));
  const second = queue.run(work("second"));
  await t.rejects(first, { message: "first" });
  await second;
  await queue.idle;
  t.same(steps, ["first begins", "first ends", "second begins", "second ends"]);
});
