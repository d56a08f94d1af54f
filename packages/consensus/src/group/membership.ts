/** Members of a group at each index of its log. */

import { decode, encode } from "cbor-x";
import type { Buffer } from "node:buffer";
import {
  type Member,
  MEMBER_ROLES,
  type ReplicaIdentity,
} from "@mallowlift/core";

interface MembershipVersion {
  readonly index: number;
  readonly members: readonly Member[];
}

/**
 * Members of a group. A change takes effect when it is appended, before it is
 * committed.
 */
export class Membership {
  #history: MembershipVersion[];

  constructor(index: number, members: readonly Member[]) {
    this.#history = [{ index, members }];
  }

  /** Members as of the newest membership entry in the log. */
  get members(): readonly Member[] {
    return this.#history.at(-1)?.members ?? [];
  }

  /** Index of the newest membership entry. */
  get changedIndex(): number {
    return this.#history.at(-1)?.index ?? 0;
  }

  /** Members that vote. */
  get voters(): readonly Member[] {
    return this.members.filter((member) => member.role === MEMBER_ROLES.VOTER);
  }

  /** Number of voters that make a quorum. */
  get quorum(): number {
    return Math.floor(this.voters.length / 2) + 1;
  }

  /** Returns the members as of a log index. */
  findAtIndex(index: number): readonly Member[] {
    for (const version of this.#history.toReversed()) {
      if (version.index <= index) return version.members;
    }
    return [];
  }

  /** Records the members of a new membership entry. */
  append(index: number, members: readonly Member[]): void {
    this.#history.push({ index, members });
  }

  /**
   * Drops the membership entries from an index on, where the log was truncated.
   */
  truncateFrom(index: number): void {
    const kept = this.#history.filter((version) => version.index < index);
    if (kept.length > 0) this.#history = kept;
  }

  /** Replaces the history by the members of a snapshot. */
  reset(index: number, members: readonly Member[]): void {
    this.#history = [{ index, members }];
  }

  /** Returns the member with this identity. */
  find(identity: ReplicaIdentity): Member | undefined {
    return this.members.find((member) => isSameReplica(member, identity));
  }

  /** True if the member with this identity is a voter. */
  isVoter(identity: ReplicaIdentity): boolean {
    return this.find(identity)?.role === MEMBER_ROLES.VOTER;
  }
}

/** True if replica id and incarnation are equal. */
export function isSameReplica(
  left: ReplicaIdentity,
  right: ReplicaIdentity,
): boolean {
  return left.replicaId === right.replicaId &&
    left.incarnation === right.incarnation;
}

/** Encodes members as the payload of a membership entry. */
export function encodeMembers(members: readonly Member[]): Buffer {
  return encode(members);
}

/** Decodes the members from the payload of a membership entry. */
export function decodeMembers(payload: Uint8Array): readonly Member[] {
  return decode(payload) as readonly Member[];
}
