/**
 * What belongs to one life of an upstream ends with it: it may start again
 * under the id that it had, and then holds and knows nothing of before.
 */

import type { UpstreamInstance } from "@mallowlift/core";
import { test } from "tap";
import { PromptMemory } from "./prompt_memory.ts";
import { UpstreamTable } from "./upstream_table.ts";

const NOW = 1_000;

function life(bornAt: number): UpstreamInstance {
  return {
    id: `u@${bornAt}`,
    ownId: "u",
    bornAt,
    service: "s",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 4,
    leaving: false,
  };
}

test("a new life begins without the health, the connections and the prompts of the last", (t) => {
  const table = new UpstreamTable(() => 0, "a");
  const prompts = new PromptMemory();
  const choose = (preferredId: string) =>
    table.choose({
      service: "s",
      tried: new Set(),
      preferredId,
      objectKey: "",
      isRepeatable: true,
      gateways: 1,
      now: NOW,
    });
  table.update([life(1)]);
  const first = choose("");
  first?.health.noteFailure(NOW);
  prompts.note([{ id: "part", tokens: 500 }], first?.instance.id ?? "");
  t.equal(choose(""), undefined, "it rests after its failure");

  table.update([life(2)]);
  const second = choose("");
  t.ok(first?.isGone, "nothing more is sent on connections of the first life");
  t.equal(second?.health.failures, 0);
  const remembered = prompts.find([{ id: "part", tokens: 500 }]);
  t.not(remembered, second?.instance.id, "it has read no prompt yet");
  t.equal(choose(remembered), second, "what was read before draws no call");
  t.end();
});
