import fc from "fast-check";
import { test } from "tap";
import { type Member, MEMBER_ROLES } from "@mallowlift/core";
import { chooseWarmSpares, type SpareView } from "./choose_warm_spares.ts";

const SEED = 11;
const LIMITS = { lostMilliseconds: 1_600, freshMilliseconds: 600 };

function makeMember(
  number: number,
  failureDomain: string,
  role: Member["role"] = MEMBER_ROLES.LEARNER,
): Member {
  const replicaId = `store-${failureDomain}-${number}`;
  return {
    replicaId,
    incarnation: `i${number}`,
    role,
    address: "",
    failureDomain,
  };
}

function makeSpare(
  member: Member,
  facts: Partial<SpareView> = {},
): SpareView {
  return {
    member,
    isWarm: false,
    lastIndex: 0,
    silentMilliseconds: 0,
    ...facts,
  };
}

const DOMAINS = ["a", "b", "c", "d", "e"];
const VOTERS = DOMAINS.map((domain) =>
  makeMember(1, domain, MEMBER_ROLES.VOTER)
);
/** A site of 24 stores: 5 voters, and 19 others in five failure domains. */
const MANY = Array.from(
  { length: 19 },
  (_, index) => makeSpare(makeMember(2 + index, DOMAINS[index % 5] ?? "")),
);

test("a large site keeps as many copies as a small one", (t) => {
  const limits = { ...LIMITS, voterCount: 5, voters: VOTERS };
  t.equal(chooseWarmSpares(MANY, limits).size, 2);
  t.equal(chooseWarmSpares(MANY.slice(0, 3), limits).size, 2);
  t.equal(chooseWarmSpares(MANY.slice(0, 1), limits).size, 1);
  const small = { ...LIMITS, voterCount: 1, voters: VOTERS.slice(0, 1) };
  t.equal(chooseWarmSpares(MANY, small).size, 1);
  t.end();
});

test("a spare for each voter that is missing comes on top", (t) => {
  const voters = VOTERS.slice(0, 3);
  const warm = chooseWarmSpares(MANY, { ...LIMITS, voterCount: 5, voters });
  t.equal(warm.size, 4);
  t.end();
});

test("copies lie in failure domains that have the fewest", (t) => {
  const voters = VOTERS.slice(0, 3);
  const warm = chooseWarmSpares(MANY, { ...LIMITS, voterCount: 3, voters });
  t.same([...warm].map((member) => member.failureDomain), ["d"]);
  t.end();
});

test("a warm spare stays until it is lost, and the fullest takes its place", (t) => {
  const [first, second, third] = DOMAINS.map((domain) => makeMember(2, domain));
  if (!first || !second || !third) throw new Error("Too few members");
  const limits = { ...LIMITS, voterCount: 3, voters: VOTERS.slice(0, 3) };
  const others = [
    makeSpare(second, { lastIndex: 10 }),
    makeSpare(third, { lastIndex: 90 }),
  ];
  const choose = (silentMilliseconds: number) =>
    chooseWarmSpares([
      makeSpare(first, { isWarm: true, silentMilliseconds }),
      ...others,
    ], limits);
  t.same([...choose(1_500)], [first], "a hiccup moves nothing");
  t.same([...choose(1_700)], [third], "a loss does");
  t.end();
});

test("whoever is silent does not become warm, and nobody is chosen twice", (t) => {
  const spares = fc.array(
    fc.record({
      isWarm: fc.boolean(),
      lastIndex: fc.nat(100),
      silentMilliseconds: fc.nat(3_000),
      domain: fc.constantFrom(...DOMAINS),
    }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(spares, fc.integer({ min: 1, max: 7 }), (drawn, voterCount) => {
      const views = drawn.map(({ domain, ...facts }, index) =>
        makeSpare(makeMember(index, domain), facts)
      );
      const voters = VOTERS.slice(0, voterCount);
      const warm = chooseWarmSpares(views, { ...LIMITS, voterCount, voters });
      const missing = voterCount - voters.length;
      const most = missing + Math.max(1, Math.floor((voterCount - 1) / 2));
      const usable = views.filter((spare) =>
        spare.silentMilliseconds <=
          (spare.isWarm ? LIMITS.lostMilliseconds : LIMITS.freshMilliseconds)
      );
      return warm.size === Math.min(most, usable.length) &&
        [...warm].every((member) =>
          usable.some((spare) => spare.member === member)
        );
    }),
    { seed: SEED },
  );
  t.end();
});
