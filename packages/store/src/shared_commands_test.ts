import { createDeferred } from "@mallowlift/core";
import { test } from "tap";
import { type SharedCommandEnd, SharedCommands } from "./shared_commands.ts";

const WAITING = new AbortController().signal;
const ABANDONED = AbortSignal.abort();

test("identical requests share one proposal while it is in flight", async (t) => {
  const ends: SharedCommandEnd[] = [];
  const shared = new SharedCommands<string>();
  const onEnd = (_outcome: string, end: SharedCommandEnd) => ends.push(end);
  const decided = createDeferred<string>();
  let proposals = 0;
  const propose = () => {
    proposals++;
    return decided.promise;
  };
  const requests = [ABANDONED, WAITING, WAITING].map((caller) =>
    shared.submit("turn", caller, { propose, onEnd })
  );
  const other = shared.submit("other turn", ABANDONED, { propose, onEnd });
  t.equal(proposals, 2, "another key creates another command");
  decided.resolve("kept");
  t.same(await Promise.all([...requests, other]), Array(4).fill("kept"));
  t.same(ends, [
    { requestCount: 3, isAbandoned: false },
    { requestCount: 1, isAbandoned: true },
  ]);
  await shared.submit("turn", WAITING, { propose });
  t.equal(proposals, 3, "a request after the end creates a new proposal");
});
