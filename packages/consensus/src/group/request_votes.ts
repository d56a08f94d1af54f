/** Requests votes from the other voters of a group in parallel. */

import {
  createDeferred,
  type Member,
  type VoteReply,
  type VoteRequest,
} from "@mallowlift/core";
import type { GroupOptions } from "./group_options.ts";
import { isSameReplica, type Membership } from "./membership.ts";

/** Fields of a vote request that are the same for every voter. */
export interface Ballot {
  readonly term: number;
  readonly preVote: boolean;
  readonly handover: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Result of one round of vote requests. */
export interface ElectionResult {
  readonly won: boolean;
  /** Granted votes, including the candidate's own. */
  readonly granted: number;
  /** Refused votes; the remaining voters did not answer in time. */
  readonly refused: number;
  /** Highest term in the replies. */
  readonly highestTerm: number;
}

/**
 * Requests votes from all other voters at once. Returns as soon as a quorum has
 * granted them, or when every voter has answered or timed out.
 */
export async function requestVotes(
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
  const requests = others.map(async (voter) => {
    const reply = await requestVote(voter, ballot, options);
    if (reply === undefined) return;
    highestTerm = Math.max(highestTerm, reply.term);
    if (reply.granted) granted++;
    else refused++;
    if (granted >= quorum) decided.resolve(undefined);
  });
  await Promise.race([decided.promise, Promise.all(requests)]);
  return { won: granted >= quorum, granted, refused, highestTerm };
}

async function requestVote(
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
