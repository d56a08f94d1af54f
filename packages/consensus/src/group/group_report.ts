/**
 * Reports votes, elections, ended leaderships and pending entries in logs and
 * metrics.
 */

import { type Logger, LogRateLimiter, type Metrics } from "@mallowlift/core";
import type { VoteOutcome } from "./decide_vote.ts";

/**
 * Reasons for the end of a leadership; the values are metric labels and log
 * fields.
 */
export const LEADERSHIP_ENDS = {
  /** No quorum of voters answered within two election timeouts. */
  NO_QUORUM: "no quorum answers",
  /** Another replica has a higher term. */
  HIGHER_TERM: "a later term",
  /** This replica stops. */
  STOPPED: "stopped",
} as const;

/** One of {@linkcode LEADERSHIP_ENDS}. */
export type LeadershipEnd =
  typeof LEADERSHIP_ENDS[keyof typeof LEADERSHIP_ENDS];

/** One member as the leader sees it. */
export interface MemberView {
  readonly replicaId: string;
  readonly role: string;
  /** Entries that it lacks. */
  readonly lag: number;
  /** Time since its last reply, ms. */
  readonly silentMilliseconds: number;
  /** Bytes queued on the connection to it. */
  readonly unsentBytes: number;
}

/** Pending entries of a leader and the state of its members. */
export interface PendingEntriesView {
  readonly term: number;
  /** Entries in the log that are not committed yet. */
  readonly waiting: number;
  readonly members: readonly MemberView[];
}

/**
 * Minimum time between two log lines on the same kind of vote or election, ms.
 */
const VOTE_LOG_INTERVAL_MILLISECONDS = 1_000;
/** Minimum time between two log lines on pending entries, ms. */
const WAITING_LOG_INTERVAL_MILLISECONDS = 1_000;
/**
 * Pending entries from which a line is logged. A busy leader proposes about
 * this many in 50 ms, which is several times the usual commit latency.
 */
const MIN_LOGGED_ENTRIES = 50;

/** Writes the log lines and metrics of one group. */
export class GroupReport {
  readonly #group: number;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #voteLimit = new LogRateLimiter(VOTE_LOG_INTERVAL_MILLISECONDS);
  readonly #waitingLimit = new LogRateLimiter(
    WAITING_LOG_INTERVAL_MILLISECONDS,
  );

  constructor(
    group: number,
    parts: { readonly logger: Logger; readonly metrics: Metrics },
  ) {
    this.#group = group;
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
  }

  /** Records how this replica decided on a vote request. */
  recordVote(
    outcome: VoteOutcome,
    vote: {
      readonly term: number;
      readonly candidate: string;
      readonly preVote: boolean;
    },
    now: number,
  ): void {
    this.#metrics.votes.inc({ group: this.#group, outcome });
    const { term, candidate, preVote } = vote;
    const key = `${outcome} ${candidate} ${preVote}`;
    const repeats = this.#voteLimit.take(key, now);
    if (repeats === undefined) return;
    this.#logger.info("Vote requested", {
      group: this.#group,
      term,
      candidate,
      preVote,
      outcome,
      repeats,
    });
  }

  /**
   * Records the result of an election in which this replica was the candidate.
   */
  recordElection(
    election: {
      readonly term: number;
      readonly preVote: boolean;
      readonly won: boolean;
      readonly granted: number;
      readonly refused: number;
      readonly voters: number;
      readonly silentMilliseconds: number;
    },
    now: number,
  ): void {
    const key = `election ${election.preVote} ${election.won}`;
    const repeats = this.#voteLimit.take(key, now);
    if (repeats === undefined) return;
    const { silentMilliseconds, ...facts } = election;
    this.#logger.info("Election", {
      group: this.#group,
      ...facts,
      silent_ms: Math.round(Math.min(silentMilliseconds, now)),
      repeats,
    });
  }

  /**
   * Records the end of a leadership, with the pending entries and the members
   * at that time.
   */
  recordLeadershipEnd(
    reason: LeadershipEnd,
    view: PendingEntriesView,
    ledMilliseconds: number,
  ): void {
    this.#metrics.leadershipEnds.inc({ group: this.#group, reason });
    this.#metrics.pendingEntries.set({ group: this.#group }, 0);
    this.#logger.warn("Leadership ended", {
      group: this.#group,
      term: view.term,
      reason,
      led_ms: Math.round(ledMilliseconds),
      waiting: view.waiting,
      members: describeMembers(view.members),
    });
  }

  /**
   * Records the pending entries of a leader; logs a line only if there are
   * many.
   */
  recordPendingEntries(
    view: PendingEntriesView,
    now: number,
  ): void {
    this.#metrics.pendingEntries.set({ group: this.#group }, view.waiting);
    if (view.waiting < MIN_LOGGED_ENTRIES) return;
    const repeats = this.#waitingLimit.take("waiting", now);
    if (repeats === undefined) return;
    this.#logger.info("Entries wait", {
      group: this.#group,
      term: view.term,
      waiting: view.waiting,
      members: describeMembers(view.members),
    });
  }
}

/**
 * Formats each member as id, role, lag in entries, silence and unsent bytes.
 */
function describeMembers(members: readonly MemberView[]): string {
  return members.map((member) =>
    `${member.replicaId}:${member.role} lag=${member.lag} ` +
    `silent_ms=${Math.round(member.silentMilliseconds)} ` +
    `unsent=${member.unsentBytes}`
  ).join("; ");
}
