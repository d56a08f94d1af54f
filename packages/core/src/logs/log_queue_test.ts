import type { Buffer } from "node:buffer";
import { test } from "tap";
import { LogQueue } from "./log_queue.ts";

test("a reader that stops reading does not block the writer, and dropped lines are counted", (t) => {
  const written: string[] = [];
  let resume: (() => void) | undefined;
  const queue = new LogQueue((bytes: Buffer, done) => {
    written.push(String(bytes));
    resume = () => done(bytes.length, undefined);
  });
  const line = `${"x".repeat(1_000)}\n`;
  queue.write(line);
  queue.flush();
  for (let count = 0; count < 5_000; count++) queue.write(line);
  t.equal(written.length, 1, "one write is in progress");
  resume?.();
  t.equal(written.length, 2);
  const lines = written[1]?.trimEnd().split("\n") ?? [];
  t.ok(lines.length < 1_100);
  const drops = JSON.parse(lines.at(-1) ?? "{}") as { dropped: number };
  t.equal(drops.dropped + lines.length - 1, 5_000);
  t.end();
});
