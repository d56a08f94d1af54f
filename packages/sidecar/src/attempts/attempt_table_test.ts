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
import { FirstCome } from "@mallowlift/scheduling";
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
const BOOT = "boot";
const ANSWER: Answer = { text: "done", finish: "200", usage: NO_USAGE };

/** Remembers what ran, and ends it when the test says so. */
class FakeUpstream implements UpstreamClient {
  readonly ran: string[] = [];
  readonly ends: Deferred<Outcome<Answer>>[] = [];
  #atOnce: boolean;

  constructor(atOnce: boolean) {
    this.#atOnce = atOnce;
  }

  run(run: UpstreamRun): Promise<Outcome<Answer>> {
    this.ran.push(run.request.key.requestId);
    if (this.#atOnce) return Promise.resolve(Ok(ANSWER));
    const end = createDeferred<Outcome<Answer>>();
    this.ends.push(end);
    run.signal.addEventListener("abort", () => {
      end.resolve(fail(RESULT_CODES.CANCELLED, "Cancelled"));
    });
    return end.promise;
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
    readonly atOnce: boolean;
    readonly slots?: number;
    readonly queueLimit?: number;
  },
) {
  const upstream = new FakeUpstream(options.atOnce);
  const limits = {
    slots: options.slots ?? 4,
    queueLimit: options.queueLimit ?? 4,
  };
  const table = new AttemptTable({
    bootId: BOOT,
    admission: new Admission(limits, new FirstCome()),
    upstream,
    keepMilliseconds: 1_000,
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
  },
): DispatchRequest {
  const { requestId = "r", attempt = 1, term = 1 } = options;
  return {
    key: { group: 1, programId: "p", requestId, attempt },
    term,
    bootId: BOOT,
    outfit: "north",
    priority: 1,
    attainedTokens: 0,
    deadlineAt: Infinity,
    body: {
      kind: "service",
      service: "s",
      operation: "o",
      payload: "{}",
      idempotent: false,
    },
    prompt: [],
    told: "",
  };
}

function findCode(outcome: Outcome<unknown>): string {
  return outcome.ok ? "OK" : outcome.val.code.name;
}

test("the same attempt again joins the first and does not run twice", async (t) => {
  const { table, upstream } = createTable({ atOnce: false });
  const first = table.dispatch(createRequest({}), 0);
  const second = table.dispatch(createRequest({}), 0);
  await setImmediate();
  upstream.ends[0]?.resolve(Ok(ANSWER));
  t.same(await first, await second);
  t.same(upstream.ran, ["r"]);
});

test("an attempt that an owner was told never ran cannot run later", async (t) => {
  const { table, upstream } = createTable({ atOnce: true });
  const { key } = createRequest({});
  const state = table.recover({ key, term: 1, bootId: BOOT }, 0);
  t.equal(state.ok && state.val.state, "never_ran");
  t.equal(findCode(await table.dispatch(createRequest({}), 0)), "STALE_TERM");
  t.same(upstream.ran, []);
});

test("after a later owner was heard, the earlier one can start nothing", async (t) => {
  const { table, upstream } = createTable({ atOnce: true });
  await table.dispatch(createRequest({ requestId: "new", term: 5 }), 0);
  t.equal(
    findCode(
      await table.dispatch(createRequest({ requestId: "old", term: 4 }), 0),
    ),
    "STALE_TERM",
  );
  t.same(upstream.ran, ["new"]);
});

test("a dispatch or question meant for an earlier start is recognized", async (t) => {
  const { table, upstream } = createTable({ atOnce: true });
  const request = { ...createRequest({}), bootId: "earlier" };
  t.equal(findCode(await table.dispatch(request, 0)), "NO_UPSTREAM");
  const state = table.recover(
    { key: request.key, term: 1, bootId: "earlier" },
    0,
  );
  t.equal(state.ok && state.val.state, "outcome_unknown");
  t.same(upstream.ran, []);
});

test("a full queue and a drain refuse at once, and say that nothing ran", async (t) => {
  const { table, upstream } = createTable({
    atOnce: false,
    slots: 1,
    queueLimit: 1,
  });
  const first = table.dispatch(createRequest({ requestId: "a" }), 0);
  const second = table.dispatch(createRequest({ requestId: "b" }), 0);
  await setImmediate();
  const refused = await table.dispatch(createRequest({ requestId: "c" }), 0);
  t.equal(findCode(refused), "QUEUE_FULL");
  t.ok(
    refused.err && refused.val.code.notRun &&
      (refused.val.retryAfterMilliseconds ?? 0) > 0,
  );
  table.setDraining(true);
  t.equal(
    findCode(await table.dispatch(createRequest({ requestId: "d" }), 0)),
    "DRAINING",
  );
  upstream.ends[0]?.resolve(Ok(ANSWER));
  await first;
  await setImmediate();
  upstream.ends[1]?.resolve(Ok(ANSWER));
  t.equal(findCode(await second), "OK");
  t.same(upstream.ran, ["a", "b"]);
});

test("any mix of owners' messages runs an attempt once at most, and never after never_ran", async (t) => {
  const message = fc.record({
    kind: fc.constantFrom("dispatch", "recover", "cancel"),
    attempt: fc.integer({ min: 1, max: 2 }),
    term: fc.integer({ min: 1, max: 3 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(message, { maxLength: 30 }), async (messages) => {
      const { table, upstream } = createTable({ atOnce: true });
      const denied = new Set<string>();
      for (const { kind, attempt, term } of messages) {
        const request = createRequest({
          requestId: `r${attempt}`,
          attempt,
          term,
        });
        const question = { key: request.key, term, bootId: BOOT };
        const ranBefore = upstream.ran.length;
        if (kind === "dispatch") await table.dispatch(request, 0);
        if (kind === "cancel") table.cancel(question, 0);
        if (kind === "recover") {
          const state = table.recover(question, 0);
          if (state.ok && state.val.state === "never_ran") {
            denied.add(request.key.requestId);
          }
        }
        const started = upstream.ran.slice(ranBefore);
        if (started.some((requestId) => denied.has(requestId))) return false;
      }
      return new Set(upstream.ran).size === upstream.ran.length;
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});
