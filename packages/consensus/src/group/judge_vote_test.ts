import type { VoteRequest } from "@mallowlift/core";
import { test } from "tap";
import { judgeVote, VOTE_OUTCOMES, type Voter } from "./judge_vote.ts";

const NOW = 10_000;

const VOTER: Voter = {
  incarnation: "i",
  term: 5,
  votedFor: "",
  isLeading: false,
  heardAt: NOW - 1_000,
  leaseMilliseconds: 300,
  lastIndex: 40,
  lastTerm: 4,
};

const REQUEST: VoteRequest = {
  group: 0,
  term: 5,
  from: { replicaId: "candidate", incarnation: "c" },
  toIncarnation: "i",
  preVote: false,
  handover: false,
  lastIndex: 40,
  lastTerm: 4,
};

const CASES: readonly [string, Partial<VoteRequest>, Partial<Voter>, string][] =
  [
    ["a free vote", {}, {}, VOTE_OUTCOMES.GRANTED],
    ["the same candidate again", {}, { votedFor: "candidate" }, "granted"],
    ["a vote that was given", {}, { votedFor: "x" }, VOTE_OUTCOMES.GIVEN],
    ["a later term frees it", { term: 6 }, { votedFor: "x" }, "granted"],
    [
      "a pre-vote gives nothing",
      { preVote: true },
      { votedFor: "x" },
      "granted",
    ],
    ["an old term", { term: 4 }, {}, VOTE_OUTCOMES.OLD_TERM],
    ["a shorter log", { lastIndex: 39 }, {}, VOTE_OUTCOMES.BEHIND],
    ["an older log", { lastTerm: 3, lastIndex: 90 }, {}, VOTE_OUTCOMES.BEHIND],
    ["a newer log", { lastTerm: 5, lastIndex: 1 }, {}, VOTE_OUTCOMES.GRANTED],
    [
      "within the lease",
      {},
      { heardAt: NOW - 299 },
      VOTE_OUTCOMES.LEADER_HEARD,
    ],
    ["after the lease", {}, { heardAt: NOW - 300 }, VOTE_OUTCOMES.GRANTED],
    ["a leader itself", { term: 9 }, { isLeading: true }, "a leader was heard"],
    [
      "a hand-over needs no silence",
      { term: 6, handover: true },
      { heardAt: NOW },
      VOTE_OUTCOMES.GRANTED,
    ],
    ["a lost disk", { toIncarnation: "x" }, {}, VOTE_OUTCOMES.STRANGER],
  ];

test("a vote goes to whom it may", (t) => {
  for (const [name, request, voter, outcome] of CASES) {
    const judged = judgeVote(
      { ...REQUEST, ...request },
      { ...VOTER, ...voter },
      NOW,
    );
    t.equal(judged, outcome, name);
  }
  t.end();
});
