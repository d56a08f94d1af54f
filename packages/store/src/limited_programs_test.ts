import type { Applied, ReplicatedGroup } from "@mallowlift/consensus";
import { createMetrics, RESULT_CODES, SILENT_LOGGER } from "@mallowlift/core";
import { SiteState } from "@mallowlift/sessions";
import type { HandlerTable } from "@mallowlift/transport";
import { test } from "tap";
import { setTimeout as sleep } from "node:timers/promises";
import { Ok } from "ts-results";
import { createTestReader } from "./mocks/create_test_reader.ts";
import { SiteOwner } from "./site_owner.ts";
import { createStoreHandlers } from "./store_app.ts";

/** Age of requests at which the leader counts as full, ms. */
const OLD_MILLISECONDS = 400;
/** Time after which a full leader limits new programs, ms. */
const LIMITING_MILLISECONDS = 900;
const WAITING = 200;
const NEW_PROGRAMS = 40;

/** Starts a leader that commits at once; counts what it proposes. */
function startLeader() {
  const proposed: unknown[] = [];
  const group = {
    isLeading: true,
    findProposalLoad: () => ({
      part: 0,
      expectedMilliseconds: 0,
      retryAfterMilliseconds: 200,
    }),
    propose: (command: unknown) => {
      proposed.push(command);
      const applied: Applied = {
        index: proposed.length,
        result: { code: "OK" },
      };
      return Promise.resolve(Ok(applied));
    },
  } as unknown as ReplicatedGroup;
  const { reader, changed } = createTestReader();
  const owner = new SiteOwner({
    state: new SiteState(),
    reader,
    changed,
    minStores: 1,
    getGroup: () => group,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  owner.onLeading();
  return { owner, proposed, handlers: createStoreHandlers(owner, reader) };
}

function createContext(ageMilliseconds: number) {
  return {
    peer: "g",
    signal: new AbortController().signal,
    ageMilliseconds,
    deadlineAt: Infinity,
    isAborted: false,
    sendChunk: () => undefined,
  };
}

function endTurn(handlers: HandlerTable, id: string, age: number) {
  const request = {
    turnId: id,
    programId: id,
    previousId: "",
    whole: true,
    tokens: 1,
    input: new Uint8Array(),
    output: new Uint8Array(),
    upstream: "u",
    retentionMilliseconds: 1_000,
  };
  return handlers["turns.end"]?.(request, createContext(age));
}

function beginProgram(handlers: HandlerTable, id: string) {
  const request = {
    turnId: id,
    programId: id,
    previousId: "",
    tokenBudget: -1,
    mostTokens: 5,
    missingFrom: "",
  };
  return handlers["turns.begin"]?.(request, createContext(0));
}

// Guards against new programs that wait behind all started ones to be refused, and
// whose own wait then counts as a delay of the leader.
test("a new program beyond the limit is refused when it arrives", async (t) => {
  const { owner, proposed, handlers } = startLeader();
  let now = 0;
  for (; now < LIMITING_MILLISECONDS; now += 5) {
    await endTurn(handlers, `old ${now}`, OLD_MILLISECONDS);
    await sleep(5);
  }
  const before = proposed.length;
  const ends = Array.from(
    { length: WAITING },
    (_, number) => endTurn(handlers, `end ${number}`, OLD_MILLISECONDS),
  );
  let refused = 0;
  let proposedAtRefusal = 0;
  const begins = Array.from(
    { length: NEW_PROGRAMS },
    async (_, number) => {
      const begun = await beginProgram(handlers, `new ${number}`);
      if (begun?.ok !== false) return;
      t.equal(begun.val.code, RESULT_CODES.LEADER_BUSY);
      refused++;
      proposedAtRefusal = Math.max(
        proposedAtRefusal,
        proposed.length - before,
      );
    },
  );
  await Promise.all([...ends, ...begins]);
  t.ok(refused > NEW_PROGRAMS / 2, `${refused} of ${NEW_PROGRAMS} refused`);
  t.ok(
    proposedAtRefusal < WAITING / 2,
    `${proposedAtRefusal} of ${WAITING} before the last refusal`,
  );
  owner.onFollowing();
});
