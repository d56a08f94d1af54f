/** Replication state that a leader keeps for one other member. */

import { MAX_MESSAGE_BYTES, type Member, MEMBER_ROLES } from "@mallowlift/core";

/** Replication progress of one member, kept by the leader. */
export class PeerProgress {
  member: Member;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Index of the last entry that is known to be on the member's disk. */
  matchIndex = 0;
  /**
   * Highest index that the member has reported; its entries up to there may
   * differ from the leader's.
   */
  reportedIndex = 0;
  /** True if the member receives entries although it has no vote. */
  isWarm = false;
  /** When the latest answered request was sent. */
  lastAckedSentAt = -Infinity;
  /** When the latest request was sent. */
  lastSentAt = -Infinity;
  /** True while entries are in flight, or a snapshot is queued or in flight. */
  isBusy = false;
  /** Limit on the bytes of entries in the next message. */
  messageBytes = MAX_MESSAGE_BYTES;
  /** When the latest reply arrived; initially the creation time. */
  lastReplyAt: number;
  /** True once the member is no longer in the group. */
  removed = false;

  constructor(
    member: Member,
    options: { readonly nextIndex: number; readonly now: number },
  ) {
    this.member = member;
    this.nextIndex = options.nextIndex;
    this.lastReplyAt = options.now;
  }
}

/** Returns true if the member votes. */
export function isVoter(peer: PeerProgress): boolean {
  return peer.member.role === MEMBER_ROLES.VOTER;
}

/** Returns true for a spare that receives no entries. */
export function isCold(peer: PeerProgress): boolean {
  return !isVoter(peer) && !peer.isWarm;
}
