import type { VoteRequest } from "@mallowlift/core";
import { test } from "tap";
import { decideVote, VOTE_OUTCOMES, type VoterState } from "./decide_vote.ts";

const NOW = 10_000;

const VOTER: VoterState = {
  incarnation: "i",
  term: 5,
  votedFor: "",
  isLeader: false,
  leaderContactAt: NOW - 1_000,
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

const CASES: readonly [
  string,
  Partial<VoteRequest>,
  Partial<VoterState>,
  string,
][] = [
  ["no vote given yet", {}, {}, VOTE_OUTCOMES.GRANTED],
  [
    "a repeated request of the same candidate",
    {},
    { votedFor: "candidate" },
    "granted",
  ],
  [
    "a vote already given to another candidate",
    {},
    { votedFor: "x" },
    VOTE_OUTCOMES.ALREADY_VOTED,
  ],
  ["a new vote in a later term", { term: 6 }, { votedFor: "x" }, "granted"],
  [
    "a pre-vote does not use up the vote",
    { preVote: true },
    { votedFor: "x" },
    "granted",
  ],
  ["an old term", { term: 4 }, {}, VOTE_OUTCOMES.LOWER_TERM],
  ["a shorter log", { lastIndex: 39 }, {}, VOTE_OUTCOMES.LOG_BEHIND],
  [
    "a longer log with an older last term",
    { lastTerm: 3, lastIndex: 90 },
    {},
    VOTE_OUTCOMES.LOG_BEHIND,
  ],
  [
    "a shorter log with a newer last term",
    { lastTerm: 5, lastIndex: 1 },
    {},
    VOTE_OUTCOMES.GRANTED,
  ],
  [
    "within the lease of a leader",
    {},
    { leaderContactAt: NOW - 299 },
    VOTE_OUTCOMES.LEADER_ACTIVE,
  ],
  [
    "after the lease of a leader",
    {},
    { leaderContactAt: NOW - 300 },
    VOTE_OUTCOMES.GRANTED,
  ],
  [
    "a voter that leads",
    { term: 9 },
    { isLeader: true },
    "a leader was heard",
  ],
  [
    "a handover within the lease",
    { term: 6, handover: true },
    { leaderContactAt: NOW },
    VOTE_OUTCOMES.GRANTED,
  ],
  [
    "an earlier incarnation, before its disk was lost",
    { toIncarnation: "x" },
    {},
    VOTE_OUTCOMES.WRONG_INCARNATION,
  ],
];

test("a voter grants or refuses a vote by term, log, lease and incarnation", (t) => {
  for (const [name, request, voter, outcome] of CASES) {
    const decision = decideVote(
      { ...REQUEST, ...request },
      { ...VOTER, ...voter },
      NOW,
    );
    t.equal(decision, outcome, name);
  }
  t.end();
});
