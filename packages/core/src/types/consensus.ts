/** Messages of the consensus protocol that replicates the log. */

/** Identifies a replica and the incarnation of its data folder. */
export interface ReplicaIdentity {
  readonly replicaId: string;
  /**
   * Id that is created with the data folder; a new data folder has a new one.
   */
  readonly incarnation: string;
}

/** Roles of a member in a group. */
export const MEMBER_ROLES = {
  VOTER: "voter",
  LEARNER: "learner",
  STANDBY: "standby",
} as const;

/** One of {@linkcode MEMBER_ROLES}. */
export type MemberRole = typeof MEMBER_ROLES[keyof typeof MEMBER_ROLES];

/** A member of a group. */
export interface Member extends ReplicaIdentity {
  readonly role: MemberRole;
  /** Address that the replica listens on, host:port. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Kinds of log entries. */
export const ENTRY_KINDS = {
  NOOP: 0,
  COMMAND: 1,
  MEMBERSHIP: 2,
} as const;

/** One of {@linkcode ENTRY_KINDS}. */
export type EntryKind = typeof ENTRY_KINDS[keyof typeof ENTRY_KINDS];

/** One entry of a replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  /** The command or the list of members, encoded as CBOR. */
  readonly payload: Uint8Array;
}

/**
 * Common fields of the consensus messages: group, term, sender and the
 * incarnation of the receiver.
 */
export interface ConsensusEnvelope {
  readonly group: number;
  readonly term: number;
  readonly from: ReplicaIdentity;
  readonly toIncarnation: string;
}

/** Requests a vote; a pre-vote does not change the state of the voter. */
export interface VoteRequest extends ConsensusEnvelope {
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** True if the current leader asked the candidate to take over. */
  readonly handover: boolean;
}

/** Reply to a {@linkcode VoteRequest}. */
export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Appends entries to a member's log; without entries it is a heartbeat. */
export interface AppendRequest extends ConsensusEnvelope {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** True if the receiver is a cold spare, which receives no entries for now. */
  readonly isCold?: boolean;
}

/** Reply to an {@linkcode AppendRequest}. */
export interface AppendReply {
  readonly term: number;
  readonly accepted: boolean;
  /** Last index that matches if accepted, otherwise a hint for the next try. */
  readonly matchIndex: number;
}

/** Sends one chunk of a snapshot. */
export interface SnapshotRequest extends ConsensusEnvelope {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: readonly Member[];
  /** Size of the complete state, bytes. */
  readonly size: number;
  readonly offset: number;
  readonly part: Uint8Array;
  readonly last: boolean;
}

/** Reply to a {@linkcode SnapshotRequest}. */
export interface SnapshotReply {
  readonly term: number;
  readonly accepted: boolean;
}

/** Asks a replica for its stored state, before a group is founded. */
export interface FoundingQuery {
  readonly from: ReplicaIdentity;
}

/** Reply to a {@linkcode FoundingQuery}. */
export interface FoundingState {
  readonly identity: ReplicaIdentity;
  readonly failureDomain: string;
  readonly founded: boolean;
  /**
   * Members with which the group was founded; empty if it was not, or if the
   * replica no longer stores them.
   */
  readonly foundingMembers: readonly Member[];
  /**
   * False if the replica may have lost its folder, so that it leaves the decision to
   * others; missing in earlier releases.
   */
  readonly mayFound?: boolean;
}

/** Asks the leader to add a replica with a new incarnation to its group. */
export interface JoinRequest {
  readonly group: number;
  readonly member: Member;
  /** True if the replica's own list of members contains it. */
  readonly knowsItself: boolean;
}

/** Tells a replica to start an election immediately. */
export interface HandoverRequest extends ConsensusEnvelope {
  readonly lastIndex: number;
}

/** Status of a group as one replica sees it, for operators. */
export interface GroupStatus {
  readonly group: number;
  readonly state: "leader" | "follower" | "candidate";
  readonly term: number;
  readonly leader: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly members: readonly Member[];
  /** How far each member is behind, as known by the leader. */
  readonly lag: readonly MemberLag[];
}

/** How far a member is behind the leader's log. */
export interface MemberLag {
  readonly replicaId: string;
  /** True if the leader sends it entries: a voter or a warm spare. */
  readonly isFed: boolean;
  readonly entries: number;
  readonly silentMilliseconds: number;
}
