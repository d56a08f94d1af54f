import type { ReplicatedGroup } from "@mallowlift/consensus";
import {
  createMetrics,
  type EndTurn,
  RESULT_CODES,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { SiteState } from "@mallowlift/sessions";
import { test } from "tap";
import { createTestReader } from "./mocks/create_test_reader.ts";
import type { RequestedCommand } from "./requested_command.ts";
import { SiteOwner } from "./site_owner.ts";

const IDS = { turnId: "t", programId: "p", previousId: "" };
const BEGIN: RequestedCommand = {
  kind: "begin",
  ...IDS,
  tokenBudget: -1,
  mostTokens: 5,
  missingFrom: "",
};
const END: RequestedCommand = {
  kind: "end",
  ...IDS,
  whole: false,
  tokens: 0,
  input: new Uint8Array(),
  output: new Uint8Array(),
  upstream: "",
  retentionMilliseconds: 0,
} satisfies EndTurn & { readonly kind: "end" };

// Guards against callers that wait to the end of their time and are told nothing.
test("a begin that would wait for longer than its caller is refused at once", (t) => {
  const { reader, changed } = createTestReader();
  const owner = new SiteOwner({
    state: new SiteState(),
    reader,
    changed,
    minStores: 1,
    getGroup: () => ({ isLeading: true }) as ReplicatedGroup,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  const refuse = (command: RequestedCommand, waitMilliseconds: number) =>
    owner.refuseOnArrival(command, {
      leftMilliseconds: 500,
      waitMilliseconds,
    });
  t.equal(refuse(BEGIN, 499), undefined);
  const refused = refuse(BEGIN, 600);
  t.equal(refused?.val.code, RESULT_CODES.LEADER_BUSY);
  t.equal(refused?.val.retryAfterMilliseconds, 600, "when to come back");
  t.equal(refuse(END, 600), undefined, "an end is done in any case");
  t.end();
});
