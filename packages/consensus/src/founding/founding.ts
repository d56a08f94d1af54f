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
import type { Caller } from "@mallowlift/transport";

const ASK_MILLISECONDS = 100;
const ANSWER_MILLISECONDS = 1_000;

/** What an empty replica asks with. */
export interface FoundingOptions {
  readonly self: Member;
  /** All founding replicas; a standby is not among the founders. */
  readonly founders: readonly ReplicaAddress[];
  readonly findPeer: (address: string) => Caller;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

/** How an empty replica becomes part of the site. */
export interface FoundingDecision {
  readonly action: "found" | "join" | "stop";
  readonly members: readonly Member[];
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
  while (!options.signal.aborted) {
    const answers = await askFounders(options);
    const decision = decideFromAnswers(answers, options);
    if (decision !== undefined) return decision;
    await sleep(ASK_MILLISECONDS, options.signal);
  }
  return { action: "stop", members: [] };
}

/** Decides from one round of answers; undefined if there are too few. */
export function decideFromAnswers(
  answers: readonly FounderAnswer[],
  options: Pick<FoundingOptions, "self" | "founders">,
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
    failureDomain: "",
  }));
  return {
    action: "found",
    members: [{ ...self, role: MEMBER_ROLES.VOTER }, ...others],
  };
}

function isFounder(members: readonly Member[], self: ReplicaIdentity): boolean {
  return members.some((member) =>
    member.replicaId === self.replicaId &&
    member.incarnation === self.incarnation
  );
}

async function askFounders(
  options: FoundingOptions,
): Promise<readonly FounderAnswer[]> {
  const others = options.founders.filter((founder) =>
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
