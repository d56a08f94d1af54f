/** Who belongs to a group, at each point of its log. */

import { decode, encode } from "cbor-x";
import type { Buffer } from "node:buffer";
import {
  type Member,
  MEMBER_ROLES,
  type ReplicaIdentity,
} from "@mallowlift/core";

interface MembershipAt {
  readonly index: number;
  readonly members: readonly Member[];
}

/** The members of a group; a change counts as soon as it is in the log. */
export class Membership {
  #history: MembershipAt[];

  constructor(index: number, members: readonly Member[]) {
    this.#history = [{ index, members }];
  }

  /** Members by the newest entry in the log. */
  get members(): readonly Member[] {
    return this.#history.at(-1)?.members ?? [];
  }

  /** Index of the newest membership entry. */
  get changedAt(): number {
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

  /** Members as of an index. */
  findAt(index: number): readonly Member[] {
    for (const known of this.#history.toReversed()) {
      if (known.index <= index) return known.members;
    }
    return [];
  }

  /** Takes over the members of a new entry. */
  append(index: number, members: readonly Member[]): void {
    this.#history.push({ index, members });
  }

  /** Forgets entries that were removed from the log. */
  truncateFrom(index: number): void {
    const kept = this.#history.filter((known) => known.index < index);
    if (kept.length > 0) this.#history = kept;
  }

  /** Starts again from a snapshot. */
  reset(index: number, members: readonly Member[]): void {
    this.#history = [{ index, members }];
  }

  /** Returns the member with this identity. */
  find(identity: ReplicaIdentity): Member | undefined {
    return this.members.find((member) => isSameReplica(member, identity));
  }

  /** True if this identity votes. */
  isVoter(identity: ReplicaIdentity): boolean {
    return this.find(identity)?.role === MEMBER_ROLES.VOTER;
  }
}

/** True if both id and incarnation are the same. */
export function isSameReplica(
  left: ReplicaIdentity,
  right: ReplicaIdentity,
): boolean {
  return left.replicaId === right.replicaId &&
    left.incarnation === right.incarnation;
}

/** Encodes members for a membership entry. */
export function encodeMembers(members: readonly Member[]): Buffer {
  return encode(members);
}

/** Decodes the members of a membership entry. */
export function decodeMembers(payload: Uint8Array): readonly Member[] {
  return decode(payload) as readonly Member[];
}
