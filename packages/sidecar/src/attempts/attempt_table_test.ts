import {
  type Answer,
  createDeferred,
  createMetrics,
  type Deferred,
  type DispatchRequest,
  fail,
  NO_USAGE,
  type Outcome,
  RESULT_CODES,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { FirstComeFirstServed } from "@mallowlift/scheduling";
import fc from "fast-check";
import { setImmediate } from "node:timers/promises";
import { test } from "tap";
import { Ok } from "ts-results";
import type {
  UpstreamClient,
  UpstreamRun,
} from "../upstream/upstream_client.ts";
import { Admission } from "./admission.ts";
import { AttemptTable } from "./attempt_table.ts";

const SEED = 1;
const BOOT_ID = "boot";
const ANSWER: Answer = { text: "done", finish: "200", usage: NO_USAGE };

/** Records started calls; completes them immediately or when the test does. */
class FakeUpstream implements UpstreamClient {
  readonly startedIds: string[] = [];
  readonly pendingOutcomes: Deferred<Outcome<Answer>>[] = [];
  #completesImmediately: boolean;

  constructor(completesImmediately: boolean) {
    this.#completesImmediately = completesImmediately;
  }

  run(run: UpstreamRun): Promise<Outcome<Answer>> {
    this.startedIds.push(run.request.key.requestId);
    if (this.#completesImmediately) return Promise.resolve(Ok(ANSWER));
    const pendingOutcome = createDeferred<Outcome<Answer>>();
    this.pendingOutcomes.push(pendingOutcome);
    run.signal.addEventListener("abort", () => {
      pendingOutcome.resolve(fail(RESULT_CODES.CANCELLED, "Cancelled"));
    });
    return pendingOutcome.promise;
  }

  readLoad() {
    return Promise.resolve(undefined);
  }

  readCacheChanges() {
    return Promise.resolve([]);
  }

  listSessions() {
    return Promise.resolve([]);
  }

  releaseSession() {
    return Promise.resolve();
  }
}

function createTable(
  options: {
    readonly completesImmediately: boolean;
    readonly slots?: number;
    readonly queueLimit?: number;
    readonly keptTotalBytes?: number;
  },
) {
  const upstream = new FakeUpstream(options.completesImmediately);
  const limits = {
    slots: options.slots ?? 4,
    queueLimit: options.queueLimit ?? 4,
  };
  const table = new AttemptTable({
    bootId: BOOT_ID,
    admission: new Admission(limits, new FirstComeFirstServed()),
    upstream,
    keepMilliseconds: 1_000,
    keptTotalBytes: options.keptTotalBytes ?? 1_048_576,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  return { table, upstream };
}

function createRequest(
  options: {
    readonly requestId?: string;
    readonly attempt?: number;
    readonly term?: number;
    readonly payload?: string;
  },
): DispatchRequest {
  const { requestId = "r", attempt = 1, term = 1, payload = "{}" } = options;
  return {
    key: { group: 1, programId: "p", requestId, attempt },
    term,
    bootId: BOOT_ID,
    outfit: "north",
    priority: 1,
    attainedTokens: 0,
    deadlineAt: Infinity,
    body: {
      kind: "service",
      service: "s",
      operation: "o",
      payload,
      idempotent: false,
    },
    prompt: [],
    told: "",
  };
}

function getCodeName(outcome: Outcome<unknown>): string {
  return outcome.ok ? "OK" : outcome.val.code.name;
}

test("a repeated dispatch joins the first one and does not run again", async (t) => {
  const { table, upstream } = createTable({ completesImmediately: false });
  const first = table.dispatch(createRequest({}), 0);
  const second = table.dispatch(createRequest({}), 0);
  await setImmediate();
  upstream.pendingOutcomes[0]?.resolve(Ok(ANSWER));
  t.same(await first, await second);
  t.same(upstream.startedIds, ["r"]);
});

test("an attempt that was reported as never_ran cannot run later", async (t) => {
  const { table, upstream } = createTable({ completesImmediately: true });
  const { key } = createRequest({});
  const state = table.recover({ key, term: 1, bootId: BOOT_ID }, 0);
  t.equal(state.ok && state.val.state, "never_ran");
  t.equal(
    getCodeName(await table.dispatch(createRequest({}), 0)),
    "STALE_TERM",
  );
  t.same(upstream.startedIds, []);
});

test("a dispatch with a term older than the highest one is rejected", async (t) => {
  const { table, upstream } = createTable({ completesImmediately: true });
  await table.dispatch(createRequest({ requestId: "new", term: 5 }), 0);
  t.equal(
    getCodeName(
      await table.dispatch(createRequest({ requestId: "old", term: 4 }), 0),
    ),
    "STALE_TERM",
  );
  t.same(upstream.startedIds, ["new"]);
});

test("a dispatch meant for an earlier boot is rejected, and its outcome is unknown", async (t) => {
  const { table, upstream } = createTable({ completesImmediately: true });
  const request = { ...createRequest({}), bootId: "earlier" };
  t.equal(getCodeName(await table.dispatch(request, 0)), "NO_UPSTREAM");
  const state = table.recover(
    { key: request.key, term: 1, bootId: "earlier" },
    0,
  );
  t.equal(state.ok && state.val.state, "outcome_unknown");
  t.same(upstream.startedIds, []);
});

test("a full queue and a draining sidecar reject immediately with a not-run code", async (t) => {
  const { table, upstream } = createTable({
    completesImmediately: false,
    slots: 1,
    queueLimit: 1,
  });
  const first = table.dispatch(createRequest({ requestId: "a" }), 0);
  const second = table.dispatch(createRequest({ requestId: "b" }), 0);
  await setImmediate();
  const refused = await table.dispatch(createRequest({ requestId: "c" }), 0);
  t.equal(getCodeName(refused), "QUEUE_FULL");
  t.ok(
    refused.err && refused.val.code.notRun &&
      (refused.val.retryAfterMilliseconds ?? 0) > 0,
  );
  table.setDraining(true);
  t.equal(
    getCodeName(await table.dispatch(createRequest({ requestId: "d" }), 0)),
    "DRAINING",
  );
  upstream.pendingOutcomes[0]?.resolve(Ok(ANSWER));
  await first;
  await setImmediate();
  upstream.pendingOutcomes[1]?.resolve(Ok(ANSWER));
  t.equal(getCodeName(await second), "OK");
  t.same(upstream.startedIds, ["a", "b"]);
});

test("any message sequence runs an attempt at most once and never after never_ran", async (t) => {
  const message = fc.record({
    kind: fc.constantFrom("dispatch", "recover", "cancel"),
    attempt: fc.integer({ min: 1, max: 2 }),
    term: fc.integer({ min: 1, max: 3 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(message, { maxLength: 30 }), async (messages) => {
      const { table, upstream } = createTable({ completesImmediately: true });
      const neverRan = new Set<string>();
      for (const { kind, attempt, term } of messages) {
        const request = createRequest({
          requestId: `r${attempt}`,
          attempt,
          term,
        });
        const recoverRequest = { key: request.key, term, bootId: BOOT_ID };
        const startedBefore = upstream.startedIds.length;
        if (kind === "dispatch") await table.dispatch(request, 0);
        if (kind === "cancel") table.cancel(recoverRequest, 0);
        if (kind === "recover") {
          const state = table.recover(recoverRequest, 0);
          if (state.ok && state.val.state === "never_ran") {
            neverRan.add(request.key.requestId);
          }
        }
        const started = upstream.startedIds.slice(startedBefore);
        if (started.some((requestId) => neverRan.has(requestId))) return false;
      }
      return new Set(upstream.startedIds).size === upstream.startedIds.length;
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

// Guards against queued attempts that wait out a stop and end as if they had run.
test("a stop gives queued attempts back and aborts running ones at its end", async (t) => {
  const { table, upstream } = createTable({
    completesImmediately: false,
    slots: 1,
  });
  const first = table.dispatch(createRequest({ requestId: "first" }), 0);
  const second = table.dispatch(createRequest({ requestId: "second" }), 0);
  await setImmediate();
  table.setDraining(true);
  table.releaseQueued();
  t.equal(getCodeName(await second), "DRAINING");
  t.equal(table.pendingCount, 1);
  table.abortRunning();
  t.equal(getCodeName(await first), "CANCELLED");
  t.same(upstream.startedIds, ["first"]);
  t.equal(table.pendingCount, 0);
});

// Guards against finished answers whose sum nothing bounds, and against an attempt
// that is forgotten with its answer and would run again.
test("a discarded answer is reported as finished and unknown, never as not run", async (t) => {
  const { table, upstream } = createTable({
    completesImmediately: true,
    keptTotalBytes: 2 * ANSWER.text.length,
  });
  for (const requestId of ["a", "b", "c"]) {
    t.equal(
      getCodeName(await table.dispatch(createRequest({ requestId }), 0)),
      "OK",
    );
  }
  const recover = (requestId: string) => {
    const { key } = createRequest({ requestId });
    return { key, term: 1, bootId: BOOT_ID };
  };
  const state = table.recover(recover("a"), 0);
  t.equal(state.ok && state.val.state, "finished");
  t.equal(
    getCodeName(await table.waitForEnd(recover("a"))),
    "OUTCOME_UNKNOWN",
  );
  t.equal(
    getCodeName(await table.dispatch(createRequest({ requestId: "a" }), 0)),
    "OUTCOME_UNKNOWN",
  );
  t.equal(getCodeName(await table.waitForEnd(recover("c"))), "OK");
  t.same(upstream.startedIds, ["a", "b", "c"]);
});

test("an attempt that does not fit beside those that run is refused", async (t) => {
  const { table, upstream } = createTable({
    completesImmediately: false,
    keptTotalBytes: 100,
  });
  const payload = "x".repeat(60);
  const first = table.dispatch(createRequest({ requestId: "a", payload }), 0);
  const refused = table.dispatch(createRequest({ requestId: "b", payload }), 0);
  t.equal(getCodeName(await refused), "QUEUE_FULL");
  await setImmediate();
  upstream.pendingOutcomes[0]?.resolve(Ok(ANSWER));
  t.equal(getCodeName(await first), "OK");
  const next = table.dispatch(createRequest({ requestId: "b", payload }), 0);
  await setImmediate();
  upstream.pendingOutcomes[1]?.resolve(Ok(ANSWER));
  t.equal(getCodeName(await next), "OK");
});
