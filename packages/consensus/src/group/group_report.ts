/** Tells in logs and metrics why leaderships begin and end, and what waits. */

import { type Logger, type Metrics, RepeatLimit } from "@mallowlift/core";
import type { VoteOutcome } from "./judge_vote.ts";

/** Why a leadership ended. */
export const LEADERSHIP_ENDS = {
  /** Too few voters answered for two election timeouts. */
  NO_QUORUM: "no quorum answers",
  /** Another member knows a later term. */
  HIGHER_TERM: "a later term",
  /** The replica stops. */
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
  readonly silentMilliseconds: number;
  /** Bytes that wait on the connection to it. */
  readonly unsentBytes: number;
}

/** What waits at a leader. */
export interface WaitingView {
  readonly term: number;
  /** Entries without a quorum. */
  readonly waiting: number;
  readonly members: readonly MemberView[];
}

/** Least time between two lines on the same kind of vote, ms. */
const VOTE_SPAN_MILLISECONDS = 1_000;
/** Least time between two lines on entries that wait, ms. */
const WAIT_SPAN_MILLISECONDS = 1_000;
/**
 * Entries without a quorum from which a line is written: about what a busy
 * leader proposes in 50 ms, several times the usual time to a quorum.
 */
const NOTABLE_ENTRIES = 50;

/** Writes the lines of one group. */
export class GroupReport {
  readonly #group: number;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #votes = new RepeatLimit(VOTE_SPAN_MILLISECONDS);
  readonly #waits = new RepeatLimit(WAIT_SPAN_MILLISECONDS);

  constructor(
    group: number,
    parts: { readonly logger: Logger; readonly metrics: Metrics },
  ) {
    this.#group = group;
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
  }

  /** Notes a vote that this replica was asked for. */
  noteVote(
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
    const subject = `${outcome} ${candidate} ${preVote}`;
    const repeats = this.#votes.take(subject, now);
    if (repeats === undefined) return;
    this.#logger.info("Vote asked for", {
      group: this.#group,
      term,
      candidate,
      preVote,
      outcome,
      repeats,
    });
  }

  /** Notes how an own candidacy ended. */
  noteElection(
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
    const subject = `election ${election.preVote} ${election.won}`;
    const repeats = this.#votes.take(subject, now);
    if (repeats === undefined) return;
    const { silentMilliseconds, ...facts } = election;
    this.#logger.info("Election", {
      group: this.#group,
      ...facts,
      silent_ms: Math.round(Math.min(silentMilliseconds, now)),
      repeats,
    });
  }

  /** Notes the end of a leadership and what its leader knew by then. */
  noteEnd(
    reason: LeadershipEnd,
    view: WaitingView,
    ledMilliseconds: number,
  ): void {
    this.#metrics.leadershipEnds.inc({ group: this.#group, reason });
    this.#metrics.waitingEntries.set({ group: this.#group }, 0);
    this.#logger.warn("Leadership ended", {
      group: this.#group,
      term: view.term,
      reason,
      led_ms: Math.round(ledMilliseconds),
      waiting: view.waiting,
      members: describeMembers(view.members),
    });
  }

  /** Notes what waits at a leader, in a line only if it is much. */
  noteWaiting(
    view: WaitingView,
    now: number,
  ): void {
    this.#metrics.waitingEntries.set({ group: this.#group }, view.waiting);
    if (view.waiting < NOTABLE_ENTRIES) return;
    const repeats = this.#waits.take("waiting", now);
    if (repeats === undefined) return;
    this.#logger.info("Entries wait", {
      group: this.#group,
      term: view.term,
      waiting: view.waiting,
      members: describeMembers(view.members),
    });
  }
}

/** One word a member: its name, its part, entries, silence and bytes. */
function describeMembers(members: readonly MemberView[]): string {
  return members.map((member) =>
    `${member.replicaId}:${member.role} lag=${member.lag} ` +
    `silent_ms=${Math.round(member.silentMilliseconds)} ` +
    `unsent=${member.unsentBytes}`
  ).join("; ");
}
