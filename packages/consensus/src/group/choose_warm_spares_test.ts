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
  overrides: Partial<SpareView> = {},
): SpareView {
  return {
    member,
    isWarm: false,
    lastIndex: 0,
    silentMilliseconds: 0,
    ...overrides,
  };
}

const DOMAINS = ["a", "b", "c", "d", "e"];
const VOTERS = DOMAINS.map((domain) =>
  makeMember(1, domain, MEMBER_ROLES.VOTER)
);
/** Spares of a site of 24 stores: 19 beside 5 voters, in five failure domains. */
const SPARES = Array.from(
  { length: 19 },
  (_, index) => makeSpare(makeMember(2 + index, DOMAINS[index % 5] ?? "")),
);

test("the number of warm spares does not grow with the site", (t) => {
  const limits = { ...LIMITS, voterCount: 5, voters: VOTERS };
  t.equal(chooseWarmSpares(SPARES, limits).size, 2);
  t.equal(chooseWarmSpares(SPARES.slice(0, 3), limits).size, 2);
  t.equal(chooseWarmSpares(SPARES.slice(0, 1), limits).size, 1);
  const small = { ...LIMITS, voterCount: 1, voters: VOTERS.slice(0, 1) };
  t.equal(chooseWarmSpares(SPARES, small).size, 1);
  t.end();
});

test("each missing voter adds a warm spare", (t) => {
  const voters = VOTERS.slice(0, 3);
  const warm = chooseWarmSpares(SPARES, { ...LIMITS, voterCount: 5, voters });
  t.equal(warm.size, 4);
  t.end();
});

test("spares are chosen in failure domains with the fewest copies", (t) => {
  const voters = VOTERS.slice(0, 3);
  const warm = chooseWarmSpares(SPARES, { ...LIMITS, voterCount: 3, voters });
  t.same([...warm].map((member) => member.failureDomain), ["d"]);
  t.end();
});

test("a warm spare stays until it is lost, then the spare with the most entries replaces it", (t) => {
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
  t.same([...choose(1_500)], [first], "a short silence changes nothing");
  t.same([...choose(1_700)], [third], "a lost spare is replaced");
  t.end();
});

test("silent spares do not become warm, and no spare is chosen twice", (t) => {
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
      const wantedCount = missing +
        Math.max(1, Math.floor((voterCount - 1) / 2));
      const usable = views.filter((spare) =>
        spare.silentMilliseconds <=
          (spare.isWarm ? LIMITS.lostMilliseconds : LIMITS.freshMilliseconds)
      );
      return warm.size === Math.min(wantedCount, usable.length) &&
        [...warm].every((member) =>
          usable.some((spare) => spare.member === member)
        );
    }),
    { seed: SEED },
  );
  t.end();
});
