import { createDeferred } from "@mallowlift/core";
import { test } from "tap";
import { SharedCommands, type SharedEnd } from "./shared_commands.ts";

const PRESENT = new AbortController().signal;
const GONE = AbortSignal.abort();

test("what is asked again while it is under way is proposed once", async (t) => {
  const ends: SharedEnd[] = [];
  const shared = new SharedCommands<string>();
  const onEnd = (_outcome: string, end: SharedEnd) => ends.push(end);
  const decided = createDeferred<string>();
  let proposals = 0;
  const propose = () => {
    proposals++;
    return decided.promise;
  };
  const asks = [GONE, PRESENT, PRESENT].map((asker) =>
    shared.ask("turn", asker, { propose, onEnd })
  );
  const other = shared.ask("other turn", GONE, { propose, onEnd });
  t.equal(proposals, 2, "another key is another command");
  decided.resolve("kept");
  t.same(await Promise.all([...asks, other]), Array(4).fill("kept"));
  t.same(ends, [
    { asks: 3, isUnheard: false },
    { asks: 1, isUnheard: true },
  ]);
  await shared.ask("turn", PRESENT, { propose });
  t.equal(proposals, 3, "once it has ended it may be proposed again");
});
