import { Buffer } from "node:buffer";
import {
  DOCUMENT_FORMS,
  hashBytes,
  type PackedDocument,
  type RoutingDocument,
} from "@mallowlift/core";
import fc from "fast-check";
import { test } from "tap";
import { checkDocument } from "./check_document.ts";
import { findForm, packDocument, unpackSource } from "./packed_document.ts";
import type { BeginCommand, EndCommand } from "./site_commands.ts";
import { SiteState } from "./site_state.ts";

const SEED = 1;
const PART_BYTES = 10;
const LIMITS = {
  maxHeaderBytes: 1,
  maxBodyBytes: 1,
  headerTimeoutMilliseconds: 1,
  idleTimeoutMilliseconds: 1,
};

function createDocument(version: number): RoutingDocument {
  return { version, routes: [], services: [], limits: LIMITS };
}

function pack(version: number, source: string): Promise<PackedDocument> {
  return packDocument(createDocument(version), Buffer.from(source));
}

/** Uploads a range of a document in parts of a few bytes. */
function putParts(
  state: SiteState,
  { version, bytes, routingBytes }: PackedDocument,
  range: { readonly from?: number; readonly until?: number } = {},
): void {
  const digest = hashBytes(bytes);
  const totalBytes = bytes.length;
  const until = range.until ?? totalBytes;
  for (let offset = range.from ?? 0; offset < until; offset += PART_BYTES) {
    const part = bytes.subarray(offset, Math.min(until, offset + PART_BYTES));
    state.apply({
      kind: "documentPart",
      version,
      digest,
      totalBytes,
      routingBytes,
      offset,
      part,
    });
  }
}

async function readSource(state: SiteState): Promise<string> {
  const document = state.findDocument(state.documentVersion);
  if (document === undefined) return "none";
  const source = findForm(document, DOCUMENT_FORMS.SOURCE);
  return String(await unpackSource(source));
}

function begin(
  turnId: string,
  overrides: Partial<BeginCommand> = {},
): BeginCommand {
  return {
    kind: "begin",
    at: 0,
    turnId,
    programId: "p",
    previousId: "",
    tokenBudget: 100,
    mostTokens: 40,
    ...overrides,
  };
}

function end(turnId: string, overrides: Partial<EndCommand> = {}): EndCommand {
  return {
    kind: "end",
    at: 0,
    turnId,
    programId: "p",
    previousId: "",
    whole: true,
    tokens: 10,
    input: Buffer.from(`in-${turnId}`),
    output: Buffer.from(`out-${turnId}`),
    upstream: "u",
    retentionMilliseconds: 60_000,
    ...overrides,
  };
}

test("the highest version wins, and the first content of a version is kept", async (t) => {
  const state = new SiteState();
  putParts(state, await pack(2, "two"));
  putParts(state, await pack(1, "one"));
  putParts(state, await pack(2, "other"));
  t.equal(state.documentVersion, 2);
  t.equal(await readSource(state), "two");
});

test("a document in a log of an earlier release is put in force", async (t) => {
  const state = new SiteState();
  const document = createDocument(2);
  const source = Buffer.from("two");
  state.apply({ kind: "document", document, source });
  t.equal(state.documentVersion, 2);
  t.equal(await readSource(state), "two");
});

test("an upload resumes after its last part, also in a restored state", async (t) => {
  const state = new SiteState();
  const packed = await pack(2, "two".repeat(99));
  const digest = hashBytes(packed.bytes);
  putParts(state, packed, { until: 20 });
  putParts(state, packed, { until: 10 });
  putParts(state, packed, { from: 30 });
  t.equal(state.findHeldBytes(digest), 20, "parts out of order are ignored");
  t.equal(state.documentVersion, -1, "an incomplete document is not in force");
  const next = new SiteState();
  next.restore(Buffer.concat([...state.takeSnapshot()]));
  putParts(next, packed, { from: 20 });
  t.equal(await readSource(next), "two".repeat(99));
  t.equal(
    next.findHeldBytes(digest),
    0,
    "the upload is dropped once the document is in force",
  );
});

test("a part that would change nothing is redundant", async (t) => {
  const state = new SiteState();
  const packed = await pack(2, "two");
  const isRedundant = (offset: number, version = 2) =>
    state.isRedundant({
      kind: "documentPart",
      version,
      digest: hashBytes(packed.bytes),
      totalBytes: packed.bytes.length,
      routingBytes: packed.routingBytes,
      offset,
      part: packed.bytes.subarray(offset, offset + PART_BYTES),
    });
  putParts(state, packed, { until: 20 });
  t.same([0, 10, 20, 30].map((offset) => isRedundant(offset)), [
    true,
    true,
    false,
    true,
  ]);
  putParts(state, packed, { from: 20 });
  t.ok(isRedundant(0), "a complete document again");
  t.ok(isRedundant(0, 1), "an earlier version");
  t.notOk(isRedundant(0, 3), "a later version");
});

test("unfinished uploads are bounded, and the lowest versions are evicted first", async (t) => {
  const state = new SiteState();
  const packed = await Promise.all(
    Array.from({ length: 10 }, (_, index) => pack(index + 1, "x".repeat(99))),
  );
  for (const each of packed) putParts(state, each, { until: 10 });
  const held = packed.map(({ bytes }) => state.findHeldBytes(hashBytes(bytes)));
  t.same(held, [0, 0, 10, 10, 10, 10, 10, 10, 10, 10]);
  const [first] = packed;
  if (first !== undefined) putParts(state, first);
  t.equal(state.documentVersion, 1, "the growing upload is kept in any case");
});

test("recently replaced versions can still be read", async (t) => {
  const state = new SiteState();
  const packed = await Promise.all(
    [1, 2, 3, 4, 5].map((version) => pack(version, `${version}`)),
  );
  for (const each of packed) putParts(state, each);
  const find = (version: number) => state.findDocument(version)?.version;
  t.same([1, 2, 5].map(find), [5, 2, 5]);
});

test("turns are allowed until the budget is used up", (t) => {
  const state = new SiteState();
  t.equal(state.apply(begin("a")).code, "OK");
  t.equal(state.apply(begin("b")).code, "OK");
  t.equal(state.apply(begin("c")).code, "OK");
  t.equal(state.apply(begin("d")).code, "BUDGET_EXCEEDED");
  t.equal(state.apply(begin("a")).code, "OK", "a retry of the same turn");
  state.apply(end("a"));
  t.equal(state.apply(begin("d")).code, "OK");
  t.end();
});

test("a program exceeds its budget by at most one turn, in any order of turns", (t) => {
  const step = fc.record({
    turn: fc.nat(12),
    isEnd: fc.boolean(),
    tokens: fc.nat(40),
    again: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const state = new SiteState();
      const allowed = new Set<string>();
      const generated = new Map<string, number>();
      for (const { turn, isEnd, tokens, again } of steps) {
        const turnId = String(turn);
        if (!isEnd) {
          const { code } = state.apply(begin(turnId));
          if (code === "OK") allowed.add(turnId);
        } else if (allowed.has(turnId)) {
          const known = generated.get(turnId) ?? tokens;
          generated.set(turnId, known);
          state.apply(end(turnId, { tokens: known }));
          if (again) state.apply(end(turnId, { tokens: known }));
        }
      }
      let sum = 0;
      for (const turnId of allowed) sum += generated.get(turnId) ?? 40;
      t.ok(sum <= 100 + 40, `${sum} tokens`);
    }),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

test("turns fork, only complete ones are kept, and a chain expires with its newest turn", (t) => {
  const state = new SiteState();
  state.apply(end("a"));
  state.apply(end("b", { previousId: "a" }));
  state.apply(end("c", { previousId: "a", at: 50_000 }));
  state.apply(end("broken", { whole: false }));
  const unlimited = { tokenBudget: -1 };
  const beginAfter = (previousId: string, at = 0) =>
    state.apply(
      begin(`n-${previousId}-${at}`, { ...unlimited, previousId, at }),
    )
      .code;
  t.equal(beginAfter("b"), "OK");
  t.equal(beginAfter("broken"), "TURN_NOT_FOUND");
  t.equal(beginAfter("nowhere"), "TURN_NOT_FOUND");
  t.same(state.turns.listChain("c")?.map((turn) => turn.turnId), ["c", "a"]);
  t.equal(beginAfter("b", 80_000), "TURN_NOT_FOUND", "its retention has ended");
  t.equal(beginAfter("c", 100_000), "OK");
  t.same(state.turns.listChain("c")?.map((turn) => turn.turnId), ["c", "a"]);
  t.end();
});

test("a snapshot contains the complete state", async (t) => {
  const state = new SiteState();
  putParts(state, await pack(3, "three"));
  state.apply(begin("a"));
  state.apply(end("a"));
  state.apply(begin("b"));
  state.apply(begin("c"));
  state.apply({ kind: "retire", name: "store-1", incarnation: "i-1" });
  const copy = new SiteState();
  copy.restore(Buffer.concat([...state.takeSnapshot()]));
  t.equal(copy.documentVersion, 3);
  t.equal(await readSource(copy), "three");
  t.equal(copy.retiring.get("store-1"), "i-1");
  t.equal(String(copy.turns.listChain("a")?.[0]?.output), "out-a");
  t.equal(copy.apply(begin("d")).code, "OK");
  t.equal(copy.apply(begin("e")).code, "BUDGET_EXCEEDED");
});

test("a snapshot excludes commands applied while it is being encoded", (t) => {
  const state = new SiteState();
  const keep = (turnId: string, previousId: string, at: number) => {
    state.apply(begin(turnId, { previousId, at }));
    state.apply({ ...end(turnId), previousId, at });
  };
  keep("a", "", 0);
  keep("b", "a", 0);
  const parts = state.takeSnapshot()[Symbol.iterator]();
  const encodedParts = [parts.next().value as Uint8Array];
  keep("c", "b", 50_000);
  for (let next = parts.next(); !next.done; next = parts.next()) {
    encodedParts.push(next.value);
  }
  const copy = new SiteState();
  copy.restore(Buffer.concat(encodedParts));
  t.notOk(copy.turns.has("c"), "a later turn is not included");
  const listExpiryTimes = (of: SiteState) =>
    of.turns.store().map(({ turnId, expiresAt }) => [turnId, expiresAt]);
  copy.apply({ ...end("c"), previousId: "b", at: 50_000 });
  t.same(
    listExpiryTimes(copy),
    listExpiryTimes(state),
    "applying the later command again yields the same state",
  );
  t.end();
});

// Guards against stores that refuse different commands, as each dropped expired turns
// and budgets at a time that was counted from its own start.
test("a restored state drops turns with the same commands as the original", (t) => {
  const settle = (at: number) =>
    end(`settled-${at}`, { at, whole: false, programId: "other" });
  for (let restoredAt = 500; restoredAt < 80_000; restoredAt += 700) {
    const state = new SiteState();
    const copy = new SiteState();
    let isRestored = false;
    state.apply(end("a"));
    for (let at = 100; at < 90_000; at += 300) {
      if (!isRestored && at >= restoredAt) {
        copy.restore(Buffer.concat([...state.takeSnapshot()]));
        isRestored = true;
      }
      state.apply(settle(at));
      if (!isRestored) continue;
      copy.apply(settle(at));
      if (copy.turns.has("a") === state.turns.has("a")) continue;
      t.fail(`restored at ${restoredAt}: the states differ at ${at}`);
      break;
    }
  }
  t.end();
});

test("a document with any error is refused", (t) => {
  const service = {
    name: "s",
    maxConnections: 1,
    tokensPerEvent: 1,
    isEngine: false,
  };
  const route = {
    name: "r",
    host: "h",
    pathPrefix: "/a/",
    kind: "idempotent" as const,
    targets: [{ service: "s", weight: 1 }],
    timeoutMilliseconds: 1,
    targetMilliseconds: 0,
    priority: 0,
    maxAttempts: 1,
    keepsHistory: false,
    retentionMilliseconds: 0,
    prefersSameUpstream: false,
  };
  const check = (routes: readonly typeof route[]) =>
    checkDocument({ version: 1, routes, services: [service], limits: LIMITS });
  t.ok(check([route]).ok);
  t.ok(
    check([route, { ...route, name: "q" }]).err,
    "two routes with the same host and prefix",
  );
  t.ok(check([{ ...route, timeoutMilliseconds: 0 }]).err);
  t.ok(check([{ ...route, targets: [{ service: "s", weight: 0 }] }]).err);
  t.ok(check([{ ...route, targets: [{ service: "x", weight: 1 }] }]).err);
  t.ok(check([{ ...route, pathPrefix: "/a" }]).err);
  t.end();
});

test("a gateway is sent only the turns after the ones that it has", (t) => {
  const state = new SiteState();
  for (const [turnId, previousId] of [["a", ""], ["b", "a"], ["c", "b"]]) {
    state.apply(end(turnId ?? "", { previousId: previousId ?? "" }));
  }
  const list = (known: readonly string[]) =>
    state.turns.listChain("c", new Set(known))?.map((turn) => turn.turnId);
  t.same(list([]), ["c", "b", "a"]);
  t.same(list(["a"]), ["c", "b"]);
  t.same(list(["a", "b"]), ["c"]);
  t.same(list(["unknown"]), ["c", "b", "a"]);
  t.same(list(["c"]), []);
  t.equal(state.turns.listChain("none"), undefined);
  t.same(state.turns.listChain(""), []);
  t.end();
});

const QUOTA = {
  workspace: "north",
  version: 1,
  most: 2,
  spanMilliseconds: 1_000,
};

// Guards against a retried turn that is charged twice, and one that runs uncharged.
test("a turn is charged once, and is refused beyond the quota", (t) => {
  const state = new SiteState();
  const beginTurn = (turnId: string, at: number) =>
    state.apply(begin(turnId, { quota: QUOTA, at, mostTokens: 1 }));
  t.same(beginTurn("a", 0), { code: "OK", isCharged: true });
  t.same(
    beginTurn("a", 10),
    { code: "OK" },
    "the turn was charged when it was first begun",
  );
  t.ok(beginTurn("b", 20).isCharged);
  const refused = beginTurn("c", 30);
  t.equal(refused.code, "QUOTA_EXCEEDED");
  const wait = refused.retryAfterMilliseconds ?? 0;
  t.notOk(
    state.budgets.hasReserved("p", "c"),
    "a refused turn has no reservation",
  );
  t.ok(beginTurn("c", 30 + wait).isCharged);
  t.ok(beginTurn("d", 40 + wait).isCharged);
  t.equal(beginTurn("e", 50 + wait).code, "QUOTA_EXCEEDED");
  t.end();
});

test("a refused turn is not charged", (t) => {
  const state = new SiteState();
  const missing = begin("a", { quota: QUOTA, previousId: "none" });
  t.equal(state.apply(missing).code, "TURN_NOT_FOUND");
  const spent = begin("b", { quota: QUOTA, tokenBudget: 0 });
  t.equal(state.apply(spent).code, "BUDGET_EXCEEDED");
  t.equal(state.quotas.findWait(QUOTA, 0), 0);
  t.ok(state.apply(begin("c", { quota: QUOTA })).isCharged);
  t.ok(state.apply(begin("d", { quota: QUOTA })).isCharged);
  t.end();
});

test("permits are granted with the end of a turn and restored by a new leader", (t) => {
  const state = new SiteState();
  const charge = { ...QUOTA, most: 8, needed: 0, spare: 3 };
  t.equal(state.apply(end("a", { charge })).grants?.[0]?.granted, 3);
  const next = new SiteState();
  next.restore(Buffer.concat([...state.takeSnapshot()]));
  const taken = next.apply({
    kind: "charge",
    at: 10,
    id: "g 1",
    charges: [{ ...QUOTA, most: 8, needed: 9, spare: 0 }],
  });
  t.equal(taken.grants?.[0]?.granted, 5);
  t.end();
});
