/** Decides whether a replica grants the vote that a candidate requests. */

import type { VoteRequest } from "@mallowlift/core";

/** Results of a vote request; the values are metric labels and log fields. */
export const VOTE_OUTCOMES = {
  GRANTED: "granted",
  /** The request is addressed to an earlier incarnation of this replica. */
  WRONG_INCARNATION: "an earlier incarnation",
  /** The lease of a leader still runs, or this replica leads. */
  LEADER_ACTIVE: "a leader was heard",
  LOWER_TERM: "an old term",
  /** The candidate's log lacks entries that this replica has. */
  LOG_BEHIND: "the candidate is behind",
  /** This replica voted for another candidate in this term. */
  ALREADY_VOTED: "given to another",
} as const;

/** One of {@linkcode VOTE_OUTCOMES}. */
export type VoteOutcome = typeof VOTE_OUTCOMES[keyof typeof VOTE_OUTCOMES];

/** State of a voter when a vote request arrives. */
export interface VoterState {
  readonly incarnation: string;
  readonly term: number;
  /** Replica id that it voted for in this term; empty if it has not voted. */
  readonly votedFor: string;
  readonly isLeader: boolean;
  /**
   * Time of the last contact with a leader, by the monotonic clock, ms.
   * Granting a vote and stepping down count as contact.
   */
  readonly leaderContactAt: number;
  /**
   * Time after contact with a leader in which no other candidate gets a vote,
   * ms.
   */
  readonly leaseMilliseconds: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/**
 * Decides on a vote request. A voter has not voted yet in a term higher than
 * its own, and a pre-vote does not use up its vote.
 *
 * @example
 * ```ts
 * const outcome = decideVote(request, voter, performance.now());
 * const granted = outcome === VOTE_OUTCOMES.GRANTED;
 * ```
 */
export function decideVote(
  request: VoteRequest,
  voter: VoterState,
  now: number,
): VoteOutcome {
  if (request.toIncarnation !== voter.incarnation) {
    return VOTE_OUTCOMES.WRONG_INCARNATION;
  }
  const isLeaderActive = voter.isLeader ||
    now - voter.leaderContactAt < voter.leaseMilliseconds;
  if (isLeaderActive && !request.handover) return VOTE_OUTCOMES.LEADER_ACTIVE;
  if (request.term < voter.term) return VOTE_OUTCOMES.LOWER_TERM;
  if (!isLogUpToDate(request, voter)) return VOTE_OUTCOMES.LOG_BEHIND;
  if (request.preVote || request.term > voter.term) {
    return VOTE_OUTCOMES.GRANTED;
  }
  const isVoteAvailable = voter.votedFor === "" ||
    voter.votedFor === request.from.replicaId;
  return isVoteAvailable ? VOTE_OUTCOMES.GRANTED : VOTE_OUTCOMES.ALREADY_VOTED;
}

function isLogUpToDate(request: VoteRequest, voter: VoterState): boolean {
  if (request.lastTerm !== voter.lastTerm) {
    return request.lastTerm > voter.lastTerm;
  }
  return request.lastIndex >= voter.lastIndex;
}
