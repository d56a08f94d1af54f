/** Decides on a vote that a candidate asks for. Nothing here needs a network. */

import type { VoteRequest } from "@mallowlift/core";

/** What became of a vote that was asked for. */
export const VOTE_OUTCOMES = {
  GRANTED: "granted",
  /** Asked in the name of an earlier incarnation. */
  STRANGER: "an earlier incarnation",
  /** A leader was heard lately, or this replica leads. */
  LEADER_HEARD: "a leader was heard",
  OLD_TERM: "an old term",
  /** The candidate lacks entries that this replica has. */
  BEHIND: "the candidate is behind",
  /** The vote of this term went to somebody else. */
  GIVEN: "given to another",
} as const;

/** One of {@linkcode VOTE_OUTCOMES}. */
export type VoteOutcome = typeof VOTE_OUTCOMES[keyof typeof VOTE_OUTCOMES];

/** What a voter knows when it is asked. */
export interface Voter {
  readonly incarnation: string;
  readonly term: number;
  /** Who has its vote of this term; empty if nobody has. */
  readonly votedFor: string;
  readonly isLeading: boolean;
  /** When a leader was last heard. */
  readonly heardAt: number;
  /** Time after a word of a leader in which nobody else gets a vote, ms. */
  readonly leaseMilliseconds: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/**
 * Returns what a voter answers. A vote for a term later than its own is free.
 *
 * @example
 * ```ts
 * const outcome = judgeVote(request, voter, performance.now());
 * const granted = outcome === VOTE_OUTCOMES.GRANTED;
 * ```
 */
export function judgeVote(
  request: VoteRequest,
  voter: Voter,
  now: number,
): VoteOutcome {
  if (request.toIncarnation !== voter.incarnation) {
    return VOTE_OUTCOMES.STRANGER;
  }
  const isHeard = voter.isLeading ||
    now - voter.heardAt < voter.leaseMilliseconds;
  if (isHeard && !request.handover) return VOTE_OUTCOMES.LEADER_HEARD;
  if (request.term < voter.term) return VOTE_OUTCOMES.OLD_TERM;
  if (!isUpToDate(request, voter)) return VOTE_OUTCOMES.BEHIND;
  if (request.preVote || request.term > voter.term) {
    return VOTE_OUTCOMES.GRANTED;
  }
  const isFree = voter.votedFor === "" ||
    voter.votedFor === request.from.replicaId;
  return isFree ? VOTE_OUTCOMES.GRANTED : VOTE_OUTCOMES.GIVEN;
}

function isUpToDate(request: VoteRequest, voter: Voter): boolean {
  if (request.lastTerm !== voter.lastTerm) {
    return request.lastTerm > voter.lastTerm;
  }
  return request.lastIndex >= voter.lastIndex;
}
