/** Messages between gateways and stores, and of the directory of daemons. */

import type { RoutingDocument, UpstreamInstance } from "./routing.ts";

/** What a daemon tells of itself and has heard of others. */
export interface DaemonRecord {
  readonly name: string;
  /** New at each start of the process. */
  readonly bootId: string;
  /** Where other daemons reach it. */
  readonly address: string;
  readonly roles: readonly string[];
  readonly failureDomain: string;
  /** Time since the daemon itself was heard, by whoever tells it. */
  readonly ageMilliseconds: number;
}

/** Tells the sender's directory; the answer tells the receiver's. */
export interface DirectoryExchange {
  readonly records: readonly DaemonRecord[];
  /** True if the answer need not tell anything. */
  readonly isOnlyTold?: boolean;
}

/** Tells which records the sender holds, and how old its word on each is. */
export interface DirectoryComparison {
  /** A packed summary; see the directory's module of that name. */
  readonly known: Uint8Array;
}

/** What the receiver of a {@linkcode DirectoryComparison} holds otherwise. */
export interface DirectoryDifference {
  /** Records that the sender lacks. */
  readonly records: readonly DaemonRecord[];
  /** A packed summary of those that the receiver has heard of later. */
  readonly fresher: Uint8Array;
  /** A packed summary of those that the receiver lacks. */
  readonly wanted: Uint8Array;
}

/** Asks a seed for its grant to found the site. */
export interface FoundingClaim {
  readonly name: string;
  readonly bootId: string;
  /** True to give an earlier grant back, since too few were given. */
  readonly isReturned?: boolean;
}

/** A seed's answer to a {@linkcode FoundingClaim}. */
export interface FoundingGrant {
  readonly granted: boolean;
}

/** Asks the leader for what has changed, and confirms what has not. */
export interface FollowRequest {
  readonly daemon: string;
  /** Version in force at the gateway; -1 before the first. */
  readonly documentVersion: number;
  /** Revision of the instance list that the gateway has; empty if none. */
  readonly listRevision: string;
  /** How long the leader may wait for a change. */
  readonly holdMilliseconds: number;
}

/** The instance list as the reader last saw it. */
export interface InstanceList {
  /** Differs whenever the content differs. */
  readonly revision: string;
  readonly instances: readonly UpstreamInstance[];
}

/** Answer to a {@linkcode FollowRequest}; what has not changed is missing. */
export interface FollowReply {
  readonly documentVersion: number;
  readonly document?: RoutingDocument;
  readonly list?: InstanceList;
  /** Time since the list was read; -1 if it never was. */
  readonly listAgeMilliseconds: number;
}

/** Puts a whole document in force unless a newer one is. */
export interface ReplaceDocument {
  readonly document: RoutingDocument;
  /** The operator's own text, given back when the document is read. */
  readonly source: Uint8Array;
}

/** Answer to a {@linkcode ReplaceDocument}. */
export interface DocumentAck {
  /** Version that is in force now. */
  readonly version: number;
}

/** The newest document, as its operator wrote it. */
export interface DocumentSource {
  /** -1 if there is none yet. */
  readonly version: number;
  readonly source: Uint8Array;
}

/** One turn of a history as it is kept. */
export interface KeptTurn {
  readonly turnId: string;
  /** Turn that it goes on from; empty at the start of a line. */
  readonly previousId: string;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
  /** Instance id of the upstream that ran it. */
  readonly upstream: string;
}

/** Begins a turn: finds what it goes on from and reserves its tokens. */
export interface BeginTurn extends TurnReserve {
  /** First turn, seen backwards, that the gateway lacks; empty if it has all. */
  readonly missingFrom: string;
  /**
   * Turns that the gateway holds with all before them, so that only later ones
   * need be sent; missing where a gateway holds none.
   */
  readonly knownTurns?: readonly string[];
}

/** What the reserve of a turn is decided by. */
export interface TurnReserve {
  readonly turnId: string;
  readonly programId: string;
  /** Empty at the start of a line. */
  readonly previousId: string;
  /** Tokens that the program may generate in all; -1 if not limited. */
  readonly tokenBudget: number;
  /** Most tokens that this turn may generate. */
  readonly mostTokens: number;
}

/** Answer to a {@linkcode BeginTurn}. */
export interface TurnBegun {
  /** The turns from `missingFrom` back to one that is known, newest first. */
  readonly turns: readonly KeptTurn[];
  /** Upstream that ran the program's latest turn; empty if nobody remembers. */
  readonly latestUpstream?: string;
}

/** Ends a turn: settles its reserve and keeps it if it was whole. */
export interface EndTurn {
  readonly turnId: string;
  readonly programId: string;
  readonly previousId: string;
  /** True if the caller is about to get the whole answer. */
  readonly whole: boolean;
  /** Tokens that went to the caller. */
  readonly tokens: number;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
  readonly upstream: string;
  readonly retentionMilliseconds: number;
}

/** Asks for a store to be emptied. */
export interface RetireStore {
  readonly name: string;
}

/** How far a retirement is. */
export interface RetireState {
  readonly done: boolean;
}
