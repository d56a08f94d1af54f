import { MEMBER_ROLES } from "@mallowlift/core";
import { test } from "tap";
import { decideFromAnswers } from "./founding.ts";

const FOUNDERS = ["r1", "r2", "r3"].map((replicaId) => ({
  replicaId,
  address: `${replicaId}:1`,
}));

function createSelf(replicaId: string, incarnation = "new") {
  return {
    replicaId,
    incarnation,
    role: MEMBER_ROLES.LEARNER,
    address: "",
    failureDomain: "",
  };
}

function createAnswer(
  replicaId: string,
  founded: boolean,
  founders: readonly string[] = [],
) {
  return {
    founder: { replicaId, address: `${replicaId}:1` },
    state: {
      identity: { replicaId, incarnation: "new" },
      failureDomain: replicaId.slice(0, 1),
      founded,
      foundingMembers: founders.map((id) => createSelf(id)),
    },
  };
}

test("only the founder with the smallest id founds, and only if all others are empty", (t) => {
  const all = [createAnswer("r2", false), createAnswer("r3", false)];
  const options = { self: createSelf("r1"), founders: FOUNDERS };
  const decision = decideFromAnswers(all, options);
  t.equal(decision?.action, "found");
  t.ok(decision?.members.every((member) => member.role === MEMBER_ROLES.VOTER));
  t.equal(decideFromAnswers(all.slice(1), options), undefined);
  const other = [createAnswer("r1", false), createAnswer("r3", false)];
  t.equal(
    decideFromAnswers(other, { self: createSelf("r2"), founders: FOUNDERS }),
    undefined,
  );
  t.end();
});

// Guards against a site that nobody founds: the store with the smallest id was killed in
// its first start, and may not found the site any more.
test("a founder that may not found the site leaves it to the next one", (t) => {
  const restarted = createAnswer("r1", false);
  const answers = [
    { ...restarted, state: { ...restarted.state, mayFound: false } },
    createAnswer("r3", false),
  ];
  const options = { self: createSelf("r2"), founders: FOUNDERS };
  const decision = decideFromAnswers(answers, options);
  t.equal(decision?.action, "found");
  t.equal(decision?.members.length, 3);
  t.equal(decideFromAnswers(answers.slice(1), options), undefined);
  const others = [createAnswer("r2", false), createAnswer("r3", false)];
  const itself = { self: createSelf("r1"), founders: FOUNDERS };
  t.equal(decideFromAnswers(others, { ...itself, mayFound: false }), undefined);
  t.end();
});

test("the founding voters are spread over as many failure domains as possible", (t) => {
  const ids = ["a1", "a2", "a3", "b1", "b2", "c1"];
  const founders = ids.map((id) => ({ replicaId: id, address: `${id}:1` }));
  const decision = decideFromAnswers(
    ids.slice(1).map((id) => createAnswer(id, false)),
    {
      self: { ...createSelf("a1"), failureDomain: "a" },
      founders,
      voterCount: 3,
    },
  );
  const voters = decision?.members.filter((member) =>
    member.role === MEMBER_ROLES.VOTER
  );
  t.same(voters?.map((member) => member.replicaId), ["a1", "b1", "c1"]);
  t.equal(decision?.members.length, ids.length);
  t.end();
});

test("an empty replica joins a founded site unless it is a founding member", (t) => {
  const founded = [createAnswer("r2", true, ["r1", "r2", "r3"])];
  const known = decideFromAnswers(founded, {
    self: createSelf("r1"),
    founders: FOUNDERS,
  });
  t.equal(known?.action, "found");
  const lost = createSelf("r1", "another");
  t.equal(
    decideFromAnswers(founded, { self: lost, founders: FOUNDERS })?.action,
    "join",
  );
  t.end();
});

test("an answer with the founding members takes precedence over one without", (t) => {
  const answers = [
    createAnswer("r2", true),
    createAnswer("r3", true, ["r1", "r2", "r3"]),
  ];
  const options = { self: createSelf("r1"), founders: FOUNDERS };
  t.equal(decideFromAnswers(answers, options)?.action, "found");
  t.end();
});
