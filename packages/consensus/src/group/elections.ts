/**
 * Starts an election when a replica has had no contact with a leader for an
 * election timeout.
 */

import { performance } from "node:perf_hooks";
import { sleep } from "@mallowlift/core";
import {
  type Ballot,
  type ElectionResult,
  requestVotes,
} from "./request_votes.ts";
import type { EntryStore } from "./entry_store.ts";
import type { GroupOptions } from "./group_options.ts";
import type { GroupReport } from "./group_report.ts";

/** Maximum pause before the first election, ms: about two rounds of votes. */
const MAX_FIRST_PAUSE_MILLISECONDS = 40;
/**
 * Upper limit for the pause between elections without a winner, ms: several
 * rounds of votes.
 */
const MAX_RETRY_PAUSE_MILLISECONDS = 300;

/** The replica that takes part in elections. */
export interface Candidate {
  getTerm(): number;
  isLeader(): boolean;
  /**
   * Time of the last contact with a leader, by the monotonic clock, ms.
   * Granting a vote and stepping down count as contact.
   */
  getLeaderContactAt(): number;
  /** Moves to a higher term; steps down if it leads a lower one. */
  adoptTerm(term: number): void;
  /** Votes for itself in its term; resolves when the vote is on disk. */
  voteForSelf(): Promise<void>;
  /** Becomes the leader of its term. */
  becomeLeader(): void;
  /** Checks the leadership; called once per election timeout while it leads. */
  maintainLeadership(now: number): void;
}

/** Dependencies of {@linkcode Elections}. */
export interface ElectionParts {
  readonly options: GroupOptions;
  readonly store: EntryStore;
  readonly report: GroupReport;
  readonly candidate: Candidate;
  /** Aborts when the group stops. */
  readonly stopped: AbortSignal;
}

/**
 * Background task that starts an election when the election timeout expires.
 */
export class Elections {
  readonly #parts: ElectionParts;
  #isElecting = false;

  constructor(parts: ElectionParts) {
    this.#parts = parts;
  }

  /**
   * Runs until the group stops. After a start there has been no contact with a
   * leader yet, so the first election follows a short pause. If the group has a
   * leader, the voters that are in contact with it refuse the pre-vote.
   */
  async run(): Promise<void> {
    const { options, candidate, stopped } = this.#parts;
    const minimumTimeout = options.timing.electionMilliseconds;
    const maxRetryPause = Math.min(
      minimumTimeout,
      MAX_RETRY_PAUSE_MILLISECONDS,
    );
    let pause = MAX_FIRST_PAUSE_MILLISECONDS * Math.random();
    while (!stopped.aborted) {
      const timeout = minimumTimeout * (1 + Math.random());
      const silence = performance.now() - candidate.getLeaderContactAt();
      const remaining = candidate.isLeader()
        ? minimumTimeout
        : timeout - silence;
      await sleep(Math.max(remaining, pause), stopped);
      // The random pause keeps replicas whose timeouts have all expired from
      // requesting votes at the same time.
      pause = maxRetryPause * (0.1 + 0.6 * Math.random());
      if (stopped.aborted) return;
      const now = performance.now();
      if (candidate.isLeader()) {
        candidate.maintainLeadership(now);
        continue;
      }
      if (now - candidate.getLeaderContactAt() < timeout) continue;
      await this.standForElection(false);
    }
  }

  /**
   * Stands for election once.
   *
   * @param handover true if the leader has requested this election; the voters
   * then don't wait until the leader's lease has run out, and there is no
   * pre-vote
   */
  async standForElection(handover: boolean): Promise<void> {
    const { options, store, candidate, stopped } = this.#parts;
    if (this.#isElecting || candidate.isLeader()) return;
    if (!store.membership.isVoter(options.identity)) return;
    this.#isElecting = true;
    try {
      if (!handover && !await this.#wins({ preVote: true, handover })) return;
      if (candidate.isLeader() || stopped.aborted) return;
      candidate.adoptTerm(candidate.getTerm() + 1);
      const term = candidate.getTerm();
      await candidate.voteForSelf();
      if (!await this.#wins({ preVote: false, handover })) return;
      if (candidate.getTerm() === term) candidate.becomeLeader();
    } finally {
      this.#isElecting = false;
    }
  }

  async #wins(
    round: { readonly preVote: boolean; readonly handover: boolean },
  ): Promise<boolean> {
    const { options, store, candidate } = this.#parts;
    const term = candidate.getTerm();
    const ballot: Ballot = {
      ...round,
      term: round.preVote ? term + 1 : term,
      lastIndex: store.log.lastIndex,
      lastTerm: store.log.lastTerm,
    };
    const { membership } = store;
    const result = await requestVotes(ballot, { options, membership });
    this.#recordElection(ballot, result);
    if (result.highestTerm > ballot.term) {
      candidate.adoptTerm(result.highestTerm);
    }
    return result.won && candidate.getTerm() === term;
  }

  #recordElection(ballot: Ballot, result: ElectionResult): void {
    const { store, report, candidate } = this.#parts;
    const now = performance.now();
    report.recordElection({
      term: ballot.term,
      preVote: ballot.preVote,
      won: result.won,
      granted: result.granted,
      refused: result.refused,
      voters: store.membership.voters.length,
      silentMilliseconds: candidate.isLeader()
        ? 0
        : now - candidate.getLeaderContactAt(),
    }, now);
  }
}
