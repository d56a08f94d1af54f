/** What a leader knows of one other member. */

import {
  type Member,
  MEMBER_ROLES,
  MOST_MESSAGE_BYTES,
} from "@mallowlift/core";

/** Progress of one member, kept by the leader. */
export class PeerProgress {
  member: Member;
  /** Next entry to send. */
  nextIndex: number;
  /** Last entry known to be on the member's disk. */
  matchIndex = 0;
  /** Last entry that the member has told of, whether or not it is the leader's. */
  reportedIndex = 0;
  /** True if the member gets entries although it has no vote. */
  isWarm = false;
  /** When the newest request that was answered had been sent. */
  ackedSentAt = -Infinity;
  /** When a request was last sent. */
  sentAt = -Infinity;
  /** True while entries are on their way and not answered. */
  isBusy = false;
  /** Bytes of entries that the next message may carry. */
  messageBytes = MOST_MESSAGE_BYTES;
  /** When the member last answered. */
  heardAt: number;
  /** True once the member should get no more. */
  removed = false;

  constructor(
    member: Member,
    options: { readonly nextIndex: number; readonly now: number },
  ) {
    this.member = member;
    this.nextIndex = options.nextIndex;
    this.heardAt = options.now;
  }
}

/** True if the member votes. */
export function isVoter(peer: PeerProgress): boolean {
  return peer.member.role === MEMBER_ROLES.VOTER;
}

/** True for a spare that gets no entries. */
export function isCold(peer: PeerProgress): boolean {
  return !isVoter(peer) && !peer.isWarm;
}
