import fc from "fast-check";
import { type Member, MEMBER_ROLES } from "@mallowlift/core";
import { test } from "tap";
import {
  addLearner,
  type MemberHealth,
  planMembershipChange,
} from "./membership_keeper.ts";

const SEED = 1;
const LIMITS = {
  voterCount: 3,
  standbyMilliseconds: 1_000,
  learnerSilenceMilliseconds: 200,
};

const role = fc.constantFrom(...Object.values(MEMBER_ROLES));
const health = fc.array(
  fc.record({ role, lag: fc.nat(200), silentMilliseconds: fc.nat(2_000) }),
  { minLength: 2, maxLength: 6 },
).map((rows): MemberHealth[] =>
  rows.map((row, number) => ({
    member: {
      replicaId: `r${number}`,
      incarnation: "i",
      role: number === 0 ? MEMBER_ROLES.VOTER : row.role,
      address: "",
      failureDomain: "",
    },
    isSelf: number === 0,
    lag: row.lag,
    silentMilliseconds: row.silentMilliseconds,
  }))
);

function listVoters(members: readonly Member[]): readonly string[] {
  return members.filter((member) => member.role === MEMBER_ROLES.VOTER)
    .map((member) => member.replicaId);
}

test("each change adds or removes one voter at most, and never the leader", (t) => {
  fc.assert(
    fc.property(health, (states) => {
      const before = listVoters(states.map((row) => row.member));
      const planned = planMembershipChange(states, LIMITS);
      if (planned === undefined) return;
      const after = listVoters(planned);
      const added = after.filter((id) => !before.includes(id));
      const removed = before.filter((id) => !after.includes(id));
      t.equal(added.length + removed.length, 1);
      t.ok(after.includes("r0"));
      if (removed.length === 1) t.ok(after.length >= LIMITS.voterCount);
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("a lost voter is replaced from the failure domain with the fewest voters", (t) => {
  const row = (
    replicaId: string,
    role: Member["role"],
    silentMilliseconds = 0,
  ): MemberHealth => ({
    member: {
      replicaId,
      incarnation: "i",
      role,
      address: "",
      failureDomain: replicaId.slice(0, 1),
    },
    isSelf: replicaId === "a1",
    lag: 0,
    silentMilliseconds,
  });
  const { VOTER, LEARNER } = MEMBER_ROLES;
  const planned = planMembershipChange([
    row("a1", VOTER),
    row("b1", VOTER),
    row("c1", VOTER, 5_000),
    row("a2", LEARNER),
    row("b2", LEARNER),
    row("c2", LEARNER),
  ], LIMITS);
  t.same(listVoters(planned ?? []), ["a1", "b1", "c1", "c2"]);
  t.end();
});

test("a member that lags behind or is silent is never promoted", (t) => {
  fc.assert(
    fc.property(health, (states) => {
      const planned = planMembershipChange(states, LIMITS) ?? [];
      for (const row of states) {
        const wasVoter = row.member.role === MEMBER_ROLES.VOTER;
        const isVoter = listVoters(planned).includes(row.member.replicaId);
        if (!wasVoter && isVoter) {
          t.ok(row.lag <= 64 && row.silentMilliseconds <= 200);
        }
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("a new incarnation replaces the old one and has no vote", (t) => {
  const old = {
    replicaId: "r1",
    incarnation: "a",
    role: MEMBER_ROLES.VOTER,
    address: "",
    failureDomain: "",
  };
  const joining = { ...old, incarnation: "b", role: MEMBER_ROLES.LEARNER };
  t.same(addLearner([old], joining), [joining]);
  t.end();
});

test("a retiring voter is removed only after a replacement has been promoted", (t) => {
  const create = (replicaId: string, isSelf: boolean): MemberHealth => ({
    member: {
      replicaId,
      incarnation: `i-${replicaId}`,
      role: MEMBER_ROLES.VOTER,
      address: "",
      failureDomain: "",
    },
    isSelf,
    lag: 0,
    silentMilliseconds: 0,
  });
  const limits = { ...LIMITS, retiring: new Set(["i-r2"]) };
  const threeVoters = [
    create("r0", true),
    create("r1", false),
    create("r2", false),
  ];
  t.equal(
    planMembershipChange(threeVoters, limits),
    undefined,
    "no replacement available",
  );
  const learner = create("r3", false);
  const withLearner = [...threeVoters, {
    ...learner,
    member: { ...learner.member, role: MEMBER_ROLES.LEARNER },
  }];
  const promoted = planMembershipChange(withLearner, limits) ?? [];
  t.same(listVoters(promoted), ["r0", "r1", "r2", "r3"]);
  const afterRemoval =
    planMembershipChange([...threeVoters, learner], limits) ?? [];
  t.same(listVoters(afterRemoval), ["r0", "r1", "r3"]);
  const ownRetirement = { ...LIMITS, retiring: new Set(["i-r0"]) };
  t.equal(
    planMembershipChange([...threeVoters, learner], ownRetirement),
    undefined,
    "a retiring leader is not removed before it hands over",
  );
  t.end();
});
