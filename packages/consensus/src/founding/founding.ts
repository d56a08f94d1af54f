/** Finds out whether a replica with an empty folder founds the site or joins it. */

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
import type { Caller } from "@mallowlift/transport";
import { spreadOverDomains } from "../group/failure_domains.ts";
import type { ReplicaSource } from "./replica_source.ts";

/** Pause between two rounds of questions, ms: short against any start of a process. */
const ASK_MILLISECONDS = 100;
/** Longest wait for one answer, ms: far above a round trip. */
const ANSWER_MILLISECONDS = 1_000;

/** What an empty replica asks with. */
export interface FoundingOptions {
  readonly self: Member;
  /** The replicas that may be asked, and whether this one may found. */
  readonly replicas: ReplicaSource;
  readonly findPeer: (address: string) => Caller;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

/** How an empty replica becomes part of the site. */
export interface FoundingDecision {
  readonly action: "found" | "join" | "stop";
  readonly members: readonly Member[];
  /** True for the one that decides on the founding members. */
  readonly first?: boolean;
}

interface FounderAnswer {
  readonly founder: ReplicaAddress;
  readonly state: FoundingState;
}

/**
 * Decides for a replica whose folder is empty. The founder with the least id
 * founds the site once every founder says that it is empty too; whoever
 * finds a founded site joins it, since its own folder may have been lost.
 */
export async function decideFounding(
  options: FoundingOptions,
): Promise<FoundingDecision> {
  const { replicas } = options;
  while (!options.signal.aborted) {
    const { founders, complete } = replicas.listFounders(performance.now());
    const answers = await askFounders(founders, options);
    const decision = decideFromAnswers(answers, {
      self: options.self,
      founders,
      voterCount: replicas.voterCount,
    });
    const isFirst = decision?.action === "found" && decision.first === true;
    if (decision !== undefined && !isFirst) return decision;
    if (decision !== undefined && complete && await replicas.claimFounding()) {
      return decision;
    }
    await sleep(ASK_MILLISECONDS, options.signal);
  }
  return { action: "stop", members: [] };
}

/** Decides from one round of answers; undefined if there are too few. */
export function decideFromAnswers(
  answers: readonly FounderAnswer[],
  options: {
    readonly self: Member;
    readonly founders: readonly ReplicaAddress[];
    /** Founders that vote; the others stand by. All vote if it is missing. */
    readonly voterCount?: number;
  },
): FoundingDecision | undefined {
  const { self, founders } = options;
  const founded = answers.filter(({ state }) => state.founded);
  for (const { state } of founded) {
    if (isFounder(state.foundingMembers, self)) {
      return { action: "found", members: state.foundingMembers };
    }
  }
  // Who has joined later does not know the founders, so all are asked first.
  if (founded.length > 0) return { action: "join", members: [] };
  const ids = founders.map((founder) => founder.replicaId).sort();
  if (ids[0] !== self.replicaId) return undefined;
  if (answers.length < founders.length - 1) return undefined;
  const others = answers.map(({ founder, state }) => ({
    ...state.identity,
    role: MEMBER_ROLES.VOTER,
    address: founder.address,
    failureDomain: state.failureDomain,
  }));
  const voterCount = options.voterCount ?? founders.length;
  const spread = spreadOverDomains([self, ...others]);
  const members = spread.map((member, position) => ({
    ...member,
    role: position < voterCount ? MEMBER_ROLES.VOTER : MEMBER_ROLES.STANDBY,
  }));
  return { action: "found", members, first: true };
}

function isFounder(members: readonly Member[], self: ReplicaIdentity): boolean {
  return members.some((member) =>
    member.replicaId === self.replicaId &&
    member.incarnation === self.incarnation
  );
}

async function askFounders(
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
      { timeoutMilliseconds: ANSWER_MILLISECONDS },
    );
    return state.ok ? { founder, state: state.val } : undefined;
  }));
  return answers.filter((answer) => answer !== undefined);
}
