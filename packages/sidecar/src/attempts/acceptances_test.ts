import {
  type AttemptKey,
  createMetrics,
  type DispatchRequest,
  NO_USAGE,
  RESULT_CODES,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { FirstComeFirstServed } from "@mallowlift/scheduling";
import { test } from "tap";
import { Ok } from "ts-results";
import type { UpstreamRun } from "../upstream/upstream_client.ts";
import { Admission } from "./admission.ts";
import { AttemptTable } from "./attempt_table.ts";

const BOOT_ID = "boot";
const KEY: AttemptKey = {
  group: 1,
  programId: "p",
  requestId: "r",
  attempt: 1,
};

function createRequest(acceptance?: string): DispatchRequest {
  return {
    key: acceptance === undefined ? KEY : { ...KEY, acceptance },
    term: 1,
    bootId: BOOT_ID,
    outfit: "north",
    priority: 1,
    attainedTokens: 0,
    deadlineAt: Infinity,
    body: {
      kind: "service",
      service: "s",
      operation: "o",
      payload: acceptance ?? "",
      idempotent: false,
    },
    prompt: [],
    told: "",
  };
}

/** Creates a table whose upstream answers with the payload of each run. */
function createTable() {
  const payloads: string[] = [];
  const table = new AttemptTable({
    bootId: BOOT_ID,
    admission: new Admission(
      { slots: 4, queueLimit: 4 },
      new FirstComeFirstServed(),
    ),
    upstream: {
      run: ({ request }: UpstreamRun) => {
        const text = request.body.kind === "service"
          ? request.body.payload
          : "";
        payloads.push(text);
        return Promise.resolve(Ok({ text, finish: "200", usage: NO_USAGE }));
      },
      readLoad: () => Promise.resolve(undefined),
      readCacheChanges: () => Promise.resolve([]),
      listSessions: () => Promise.resolve([]),
      releaseSession: () => Promise.resolve(),
    },
    keepMilliseconds: 1_000,
    keptTotalBytes: 1_048_576,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  return { table, payloads };
}

// Guards against the end of a withdrawn call's attempt that counts for the next
// acceptance of its request id, since the attempts of both are numbered from 1.
test("an attempt of an earlier acceptance does not answer or fence a later one", async (t) => {
  const { table, payloads } = createTable();
  const first = await table.dispatch(createRequest("a"), 1);
  t.equal(first.unwrap().text, "a");
  const second = await table.dispatch(createRequest("b"), 2);
  t.equal(second.unwrap().text, "b");
  const recover = {
    key: { ...KEY, acceptance: "c" },
    term: 1,
    bootId: BOOT_ID,
  };
  t.same(table.recover(recover, 3).unwrap(), { state: "never_ran" });
  const fenced = await table.dispatch(createRequest("c"), 4);
  t.equal(fenced.err && fenced.val.code, RESULT_CODES.STALE_TERM);
  t.equal((await table.dispatch(createRequest("d"), 5)).unwrap().text, "d");
  t.same(payloads, ["a", "b", "d"]);
});

// Guards against a call that may run once and runs twice while owners of two versions
// follow each other: the earlier version does not know of acceptances.
test("owners with and without acceptances mean the same attempt", async (t) => {
  for (const [sent, found] of [["a", undefined], [undefined, "a"]]) {
    const { table, payloads } = createTable();
    await table.dispatch(createRequest(sent), 1);
    const { key } = createRequest(found);
    const recover = { key, term: 1, bootId: BOOT_ID };
    t.same(table.recover(recover, 2).unwrap(), { state: "finished" });
    await table.dispatch(createRequest(found), 3);
    t.equal(payloads.length, 1);
  }
});
