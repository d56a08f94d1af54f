import {
  createDeferred,
  createMetrics,
  fail,
  type Outcome,
  RESULT_CODES,
  sleep,
  type TakePermits,
  type TakePermitsReply,
} from "@mallowlift/core";
import { test } from "tap";
import { Ok } from "ts-results";
import { PermitPool } from "./permit_pool.ts";
import { findWorkspaceQuota, type WorkspaceQuota } from "./quota_bound.ts";
import { NoSparePolicy, type SparePolicy } from "./spare_policy.ts";

function createQuota(name: string): WorkspaceQuota {
  const quota = findWorkspaceQuota(
    { name, keyDigests: [], ratePerSecond: 10, burst: 10 },
    { version: 1, terms: { windowSeconds: 5, overage: 0, slack: 0 } },
  );
  if (quota === undefined) throw new Error("The workspace has no quota");
  return quota;
}

const NORTH = createQuota("north");
const SOUTH = createQuota("south");
const TIMES = { now: 0, limitMilliseconds: 60_000 };

/** Creates a pool whose leader is replaced by a function. */
function createPool(
  answer: (request: TakePermits) => Promise<Outcome<TakePermitsReply>>,
  policy: SparePolicy = new NoSparePolicy(),
) {
  const asked: TakePermits[] = [];
  const call = (_name: string, request: TakePermits) => {
    asked.push(request);
    return answer(request);
  };
  const pool = new PermitPool({
    name: "g",
    client: { call: call as never },
    policy,
    clock: () => performance.now(),
    sleep: (milliseconds) => sleep(milliseconds),
    random: () => 0,
    metrics: createMetrics(),
  });
  return { pool, asked };
}

/** Grants all permits that are requested. */
function grantAll(
  { charges }: TakePermits,
): Promise<Outcome<TakePermitsReply>> {
  const grants = charges.map(({ needed, spare }) => ({
    granted: needed + spare,
    retryAfterMilliseconds: 0,
  }));
  return Promise.resolve(Ok({ grants }));
}

test("requests that arrive while a message is in flight are batched", async (t) => {
  const unblock = createDeferred<void>();
  const { pool, asked } = createPool(async (request) => {
    if (request.charges.length === 1) await unblock.promise;
    return await grantAll(request);
  });
  const first = pool.take(NORTH, TIMES);
  const others = [
    pool.take(NORTH, TIMES),
    pool.take(SOUTH, TIMES),
    pool.take(NORTH, TIMES),
  ];
  unblock.resolve(undefined);
  t.ok((await first).ok);
  for (const other of others) t.ok((await other).ok);
  t.same(
    asked.map(({ charges }) => charges.map(({ needed }) => needed)),
    [[1], [2, 1]],
  );
  t.not(asked[0]?.id, asked[1]?.id);
});

test("a request without a permit is refused with the leader's retry delay", async (t) => {
  const { pool } = createPool(() =>
    Promise.resolve(Ok({
      grants: [{ granted: 0, retryAfterMilliseconds: 300 }],
    }))
  );
  const refused = await pool.take(NORTH, TIMES);
  t.equal(refused.err && refused.val.code, RESULT_CODES.QUOTA_EXCEEDED);
  t.equal(refused.err && refused.val.retryAfterMilliseconds, 300);
});

test("a request is retried during a change of leaders until its own timeout", async (t) => {
  let attempts = 0;
  const { pool } = createPool((request) =>
    ++attempts < 3
      ? Promise.resolve(fail(RESULT_CODES.NO_LEADER, "No leader"))
      : grantAll(request)
  );
  const now = performance.now();
  t.ok((await pool.take(NORTH, { now, limitMilliseconds: 60_000 })).ok);
  attempts = 0;
  const late = await pool.take(NORTH, { now, limitMilliseconds: 0 });
  t.equal(late.err && late.val.code, RESULT_CODES.NO_QUORUM);
  t.ok(late.err && late.val.code.notRun, "nothing has run");
});

// Guards against spare permits that are used after they have expired.
test("spare permits are all used, but only while they are valid", async (t) => {
  const policy = { recordRequest: () => undefined, findSpare: () => 2 };
  const { pool, asked } = createPool(grantAll, policy);
  const now = performance.now();
  const take = (at: number) =>
    pool.take(NORTH, { now: at, limitMilliseconds: 1_000 });
  for (let count = 0; count < 3; count++) {
    const until = (await take(now)).unwrap();
    t.ok(
      until > now &&
        until <= performance.now() + NORTH.permitLifetimeMilliseconds,
    );
  }
  t.equal(asked.length, 1);
  await take(now);
  t.equal(asked.length, 2);
  await take(now + 10_000);
  t.equal(asked.length, 3, "the remaining permits have expired");
});

test("the planned spare permits are those expected minus those in the pool", (t) => {
  const policy = { recordRequest: () => undefined, findSpare: () => 3 };
  const { pool } = createPool(grantAll, policy);
  t.same(pool.planSpare(NORTH, 0), { ...NORTH.bound, needed: 0, spare: 3 });
  pool.add(NORTH, { count: 2, requestedAt: 0 });
  t.equal(pool.planSpare(NORTH, 0)?.spare, 1);
  pool.add(NORTH, { count: 1, requestedAt: 0 });
  t.equal(pool.planSpare(NORTH, 0), undefined);
  t.equal(pool.planSpare(NORTH, 10_000)?.spare, 3, "the others have expired");
  t.end();
});

// Guards against a gateway that keeps retrying while the leader is overloaded.
test("a refusal by an overloaded leader is final and is not retried", async (t) => {
  const { pool, asked } = createPool(() =>
    Promise.resolve(fail(RESULT_CODES.LEADER_BUSY, "Busy", 700))
  );
  const refused = await pool.take(NORTH, TIMES);
  t.equal(refused.err && refused.val.code, RESULT_CODES.LEADER_BUSY);
  t.equal(refused.err && refused.val.retryAfterMilliseconds, 700);
  t.equal(asked.length, 1);
});
