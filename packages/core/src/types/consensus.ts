/** Messages of the replicated log. */

/** A replica with the incarnation of its data folder. */
export interface ReplicaIdentity {
  readonly replicaId: string;
  /** New whenever the data folder is new. */
  readonly incarnation: string;
}

/** Parts that a member can play in a group. */
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
  /** Where the replica listens, host:port. */
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
  /** The command, or the members, in CBOR. */
  readonly payload: Uint8Array;
}

/** Names the sender of a consensus message and its target's incarnation. */
export interface ConsensusEnvelope {
  readonly group: number;
  readonly term: number;
  readonly from: ReplicaIdentity;
  readonly toIncarnation: string;
}

/** Asks for a vote; a pre-vote changes nothing at the voter. */
export interface VoteRequest extends ConsensusEnvelope {
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** True when the present leader asked the candidate to take over. */
  readonly handover: boolean;
}

/** Answer to a {@linkcode VoteRequest}. */
export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Appends entries; an empty one is a heartbeat. */
export interface AppendRequest extends ConsensusEnvelope {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** True if the receiver is a member that gets no entries for now. */
  readonly isCold?: boolean;
}

/** Answer to an {@linkcode AppendRequest}. */
export interface AppendReply {
  readonly term: number;
  readonly accepted: boolean;
  /** Last index known to match, or a hint where to try next. */
  readonly matchIndex: number;
}

/** One part of a snapshot. */
export interface SnapshotRequest extends ConsensusEnvelope {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: readonly Member[];
  /** Size of the whole state, bytes. */
  readonly size: number;
  readonly offset: number;
  readonly part: Uint8Array;
  readonly last: boolean;
}

/** Answer to a {@linkcode SnapshotRequest}. */
export interface SnapshotReply {
  readonly term: number;
  readonly accepted: boolean;
}

/** Asks a replica what it holds, before a group is founded. */
export interface FoundingQuery {
  readonly from: ReplicaIdentity;
}

/** Answer to a {@linkcode FoundingQuery}. */
export interface FoundingState {
  readonly identity: ReplicaIdentity;
  readonly failureDomain: string;
  readonly founded: boolean;
  /** Members at the founding, if it was founded. */
  readonly foundingMembers: readonly Member[];
}

/** Asks the leader of a group to take in a replica with a new incarnation. */
export interface JoinRequest {
  readonly group: number;
  readonly member: Member;
  /** True if the replica finds itself among the members that it knows. */
  readonly knowsItself: boolean;
}

/** Tells a replica to start an election at once. */
export interface HandoverRequest extends ConsensusEnvelope {
  readonly lastIndex: number;
}

/** State of one group at one replica, for operators. */
export interface GroupStatus {
  readonly group: number;
  readonly state: "leader" | "follower" | "candidate";
  readonly term: number;
  readonly leader: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly members: readonly Member[];
  /** Entries that each member lacks, as the leader knows. */
  readonly lag: readonly MemberLag[];
}

/** Entries that one member lacks. */
export interface MemberLag {
  readonly replicaId: string;
  /** True if it gets entries: it votes, or is a warm spare. */
  readonly isFed: boolean;
  readonly entries: number;
  readonly silentMilliseconds: number;
}
