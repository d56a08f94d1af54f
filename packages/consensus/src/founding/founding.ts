/** Decides whether a replica with an empty data folder founds the site or joins it. */

import {
  type FoundingState,
  type Logger,
  type Member,
  MEMBER_ROLES,
  type ReplicaAddress,
  type ReplicaIdentity,
  sleep,
} from "@mallowlift/core";
import { performance } from "node:perf_hooks";
import type { PeerClient } from "@mallowlift/transport";
import { spreadOverDomains } from "../group/failure_domains.ts";
import type { ReplicaSource } from "./replica_source.ts";

/** Pause between two rounds of requests, ms; short compared with the start of a process. */
const ROUND_INTERVAL_MILLISECONDS = 100;
/** Timeout of one request, ms; far longer than a round trip. */
const REQUEST_TIMEOUT_MILLISECONDS = 1_000;

/** Options of {@linkcode decideFounding}. */
export interface FoundingOptions {
  readonly self: Member;
  /** Lists the possible founders, and grants the right to found the site. */
  readonly replicas: ReplicaSource;
  readonly findPeer: (address: string) => PeerClient;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

/** How an empty replica becomes part of the site. */
export interface FoundingDecision {
  readonly action: "found" | "join" | "stop";
  readonly members: readonly Member[];
  /** True if this replica has chosen the founding members. */
  readonly first?: boolean;
}

interface FounderAnswer {
  readonly founder: ReplicaAddress;
  readonly state: FoundingState;
}

/**
 * Decides for a replica whose folder is empty. Of the founders that may found the site,
 * the one with the smallest id does so once every other founder has reported an empty
 * folder too. A
 * replica that finds a founded site joins it, since its own folder may have been
 * lost. If a founded site lists it as a founding member with its present
 * incarnation, it has lost nothing and founds the site with the same members.
 */
export async function decideFounding(
  options: FoundingOptions,
): Promise<FoundingDecision> {
  const { replicas } = options;
  while (!options.signal.aborted) {
    const { founders, isComplete: complete } = replicas.listFounders(
      performance.now(),
    );
    const answers = await queryFounders(founders, options);
    const decision = decideFromAnswers(answers, {
      self: options.self,
      founders,
      voterCount: replicas.voterCount,
      mayFound: replicas.mayFound,
    });
    const isDecider = decision?.action === "found" && decision.first === true;
    if (decision !== undefined && !isDecider) return decision;
    if (decision !== undefined && complete && await replicas.claimFounding()) {
      return decision;
    }
    await sleep(ROUND_INTERVAL_MILLISECONDS, options.signal);
  }
  return { action: "stop", members: [] };
}

/** Decides from one round of answers; undefined if they do not allow a decision yet. */
export function decideFromAnswers(
  answers: readonly FounderAnswer[],
  options: {
    readonly self: Member;
    readonly founders: readonly ReplicaAddress[];
    /** Number of founders that become voters; the others become standbys. Default: all vote. */
    readonly voterCount?: number;
    /** False if this replica may have lost its folder; true by default. */
    readonly mayFound?: boolean;
  },
): FoundingDecision | undefined {
  const { self, founders } = options;
  const founded = answers.filter(({ state }) => state.founded);
  for (const { state } of founded) {
    if (isFoundingMember(state.foundingMembers, self)) {
      return { action: "found", members: state.foundingMembers };
    }
  }
  // A replica that joined later does not know the founding members, so every
  // answer is checked for them before this replica joins.
  if (founded.length > 0) return { action: "join", members: [] };
  if (answers.length < founders.length - 1) return undefined;
  const deciders = answers.filter(({ state }) => state.mayFound !== false)
    .map(({ founder }) => founder.replicaId);
  const isSmallest = deciders.every((replicaId) => self.replicaId < replicaId);
  if (options.mayFound === false || !isSmallest) return undefined;
  const others = answers.map(({ founder, state }) => ({
    ...state.identity,
    role: MEMBER_ROLES.VOTER,
    address: founder.address,
    failureDomain: state.failureDomain,
  }));
  const voterCount = options.voterCount ?? founders.length;
  const ordered = spreadOverDomains([self, ...others]);
  const members = ordered.map((member, position) => ({
    ...member,
    role: position < voterCount ? MEMBER_ROLES.VOTER : MEMBER_ROLES.STANDBY,
  }));
  return { action: "found", members, first: true };
}

function isFoundingMember(
  members: readonly Member[],
  self: ReplicaIdentity,
): boolean {
  return members.some((member) =>
    member.replicaId === self.replicaId &&
    member.incarnation === self.incarnation
  );
}

async function queryFounders(
  founders: readonly ReplicaAddress[],
  options: FoundingOptions,
): Promise<readonly FounderAnswer[]> {
  const others = founders.filter((founder) =>
    founder.replicaId !== options.self.replicaId
  );
  const answers = await Promise.all(others.map(async (founder) => {
    const from = {
      replicaId: options.self.replicaId,
      incarnation: options.self.incarnation,
    };
    const state = await options.findPeer(founder.address).call(
      "consensus.founding",
      { from },
      { timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS },
    );
    return state.ok ? { founder, state: state.val } : undefined;
  }));
  return answers.filter((answer) => answer !== undefined);
}
