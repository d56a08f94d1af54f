import { type Member, MEMBER_ROLES } from "@mallowlift/core";
import { test } from "tap";
import {
  countInDomain,
  findInEmptiestDomain,
  spreadOverDomains,
} from "./failure_domains.ts";

function makeMembers(...names: readonly string[]): readonly Member[] {
  return names.map((replicaId) => ({
    replicaId,
    incarnation: "i",
    role: MEMBER_ROLES.LEARNER,
    address: "",
    failureDomain: replicaId.slice(0, 1),
  }));
}

function listNames(members: readonly Member[]): readonly string[] {
  return members.map((member) => member.replicaId);
}

test("no failure domain holds a quorum of the first five of a long list", (t) => {
  const members = makeMembers("a1", "a2", "a3", "a4", "a5", "b1", "b2", "c1");
  const spread = spreadOverDomains(members);
  t.same(listNames(spread), ["a1", "b1", "c1", "a2", "b2", "a3", "a4", "a5"]);
  for (const domain of ["a", "b", "c"]) {
    t.ok(countInDomain(spread.slice(0, 5), domain) < 3);
  }
  t.end();
});

test("members without a failure domain keep their order", (t) => {
  const members = makeMembers("a1", "a2", "a3").map((member) => ({
    ...member,
    failureDomain: "",
  }));
  t.same(spreadOverDomains(members), members);
  t.same(spreadOverDomains([]), []);
  t.end();
});

test("the next member comes from the failure domain with the fewest members", (t) => {
  const others = makeMembers("a1", "a2", "b1");
  const next = (...names: readonly string[]) =>
    findInEmptiestDomain(makeMembers(...names), others).replicaId;
  t.equal(next("a3", "b2", "c1"), "c1");
  t.equal(next("a3", "b2", "b3"), "b2");
  t.throws(() => next(), { message: "No candidates to choose from" });
  t.end();
});
