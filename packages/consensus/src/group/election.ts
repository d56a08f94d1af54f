/** Asks the voters of a group for their votes. */

import {
  createDeferred,
  type Member,
  type VoteReply,
  type VoteRequest,
} from "@mallowlift/core";
import type { GroupOptions } from "./group_options.ts";
import { isSameReplica, type Membership } from "./membership.ts";

/** What a candidate asks for. */
export interface Ballot {
  readonly term: number;
  readonly preVote: boolean;
  readonly handover: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** How the voters decided. */
export interface ElectionResult {
  readonly won: boolean;
  /** Votes that were given, with the own one. */
  readonly granted: number;
  /** Votes that were refused; the others did not answer in time. */
  readonly refused: number;
  /** Highest term seen in the answers. */
  readonly highestTerm: number;
}

/** Asks all voters at once and returns as soon as a quorum has agreed. */
export async function askForVotes(
  ballot: Ballot,
  parts: { readonly options: GroupOptions; readonly membership: Membership },
): Promise<ElectionResult> {
  const { options, membership } = parts;
  const others = membership.voters.filter((voter) =>
    !isSameReplica(voter, options.identity)
  );
  const quorum = membership.quorum;
  const decided = createDeferred<void>();
  let granted = 1;
  let refused = 0;
  let highestTerm = ballot.term;
  if (granted >= quorum) return { won: true, granted, refused, highestTerm };
  const asking = others.map(async (voter) => {
    const reply = await askVoter(voter, ballot, options);
    if (reply === undefined) return;
    highestTerm = Math.max(highestTerm, reply.term);
    if (reply.granted) granted++;
    else refused++;
    if (granted >= quorum) decided.resolve(undefined);
  });
  await Promise.race([decided.promise, Promise.all(asking)]);
  return { won: granted >= quorum, granted, refused, highestTerm };
}

async function askVoter(
  voter: Member,
  ballot: Ballot,
  options: GroupOptions,
): Promise<VoteReply | undefined> {
  const request: VoteRequest = {
    ...ballot,
    group: options.group,
    from: options.identity,
    toIncarnation: voter.incarnation,
  };
  const reply = await options.findPeer(voter).call("consensus.vote", request, {
    timeoutMilliseconds: options.timing.electionMilliseconds,
  });
  return reply.ok ? reply.val : undefined;
}
