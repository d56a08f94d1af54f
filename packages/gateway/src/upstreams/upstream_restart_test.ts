/**
 * Guards against state of an upstream's earlier incarnation that is used for
 * the next one. An upstream may restart under its old id, and its connections
 * and cached prompts are gone then.
 */

import type { UpstreamInstance } from "@mallowlift/core";
import { test } from "tap";
import { PromptMemory } from "./prompt_memory.ts";
import { UpstreamTable } from "./upstream_table.ts";

const NOW = 1_000;

function createIncarnation(bornAt: number): UpstreamInstance {
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

test("a restarted upstream starts without the health, connections and prompts of its earlier incarnation", (t) => {
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
  table.update([createIncarnation(1)]);
  const first = choose("");
  first?.health.recordFailure(NOW);
  prompts.record([{ id: "part", tokens: 500 }], first?.instance.id ?? "");
  t.equal(
    choose(""),
    undefined,
    "the upstream is in backoff after its failure",
  );

  table.update([createIncarnation(2)]);
  const second = choose("");
  t.ok(first?.isRetired, "connections of the first incarnation are not reused");
  t.equal(second?.health.failures, 0);
  const remembered = prompts.find([{ id: "part", tokens: 500 }]);
  t.not(
    remembered,
    second?.instance.id,
    "the second incarnation has no prompts yet",
  );
  t.equal(
    choose(remembered),
    second,
    "prompts of the first incarnation do not influence the choice",
  );
  t.end();
});
