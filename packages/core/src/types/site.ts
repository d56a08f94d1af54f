/** Messages between gateways and stores, and of the daemon directory. */

import type { InstanceListReply } from "./instances.ts";
import type { QuotaCharge, QuotaLimit } from "./quotas.ts";
import type { RoutingDocument } from "./routing.ts";

/** Directory record of a daemon, spread by gossip between daemons. */
export interface DaemonRecord {
  readonly name: string;
  /** Id that changes at each start of the process. */
  readonly bootId: string;
  /** Address at which other daemons reach it. */
  readonly address: string;
  readonly roles: readonly string[];
  readonly failureDomain: string;
  /**
   * Time since the last sign of life of the daemon itself, as far as the sender
   * of the record knows, ms.
   */
  readonly ageMilliseconds: number;
}

/** Sends the sender's directory; the reply holds the receiver's. */
export interface DirectoryExchange {
  readonly records: readonly DaemonRecord[];
  /** True if the reply may be empty. */
  readonly isOnlyTold?: boolean;
}

/** Summarizes which records the sender has, and their ages. */
export interface DirectoryComparison {
  /** A packed summary; see `directory_summary.ts` in the membership package. */
  readonly known: Uint8Array;
}

/**
 * Reply to a {@linkcode DirectoryComparison}: how the receiver's records
 * differ.
 */
export interface DirectoryDifference {
  /** Records that the sender lacks. */
  readonly records: readonly DaemonRecord[];
  /** A packed summary of the records for which the receiver has later news. */
  readonly fresher: Uint8Array;
  /** A packed summary of the records that the receiver lacks. */
  readonly wanted: Uint8Array;
}

/** Asks a seed for permission to found the site. */
export interface FoundingClaim {
  readonly name: string;
  readonly bootId: string;
  /** True to return an earlier grant, because too few seeds gave theirs. */
  readonly isReturned?: boolean;
}

/** Reply of a seed to a {@linkcode FoundingClaim}. */
export interface FoundingGrant {
  readonly granted: boolean;
}

/**
 * Long poll of the leader for changes to the document and the instance list.
 */
export interface FollowRequest {
  readonly daemon: string;
  /** Newest version that the gateway knows of; -1 if it knows of none. */
  readonly documentVersion: number;
  /**
   * Revision of the instance list that the gateway has; empty if it has none.
   */
  readonly listRevision: string;
  /** Age of that list; Infinity without one, missing in earlier releases. */
  readonly listAgeMilliseconds?: number;
  /** Time that the leader may hold the request open while nothing changes. */
  readonly holdMilliseconds: number;
}

/**
 * Reply to a {@linkcode FollowRequest}; unchanged parts are missing. It holds
 * only the version of the document, whose bytes are fetched separately.
 */
export interface FollowReply extends InstanceListReply {
  readonly documentVersion: number;
  /**
   * Set only by leaders of earlier releases, which send the complete document.
   */
  readonly document?: RoutingDocument;
  /**
   * Time from the arrival of the request to the latest time at which a quorum
   * confirmed the leadership, so that the version was the newest then; negative
   * if that was before the arrival. Missing in earlier releases.
   */
  readonly confirmedMilliseconds?: number;
}

/**
 * A routing document in the packed form in which it is sent and stored. Only
 * gateways that route by it or return it to an operator unpack it.
 */
export interface PackedDocument {
  readonly version: number;
  /** Routes and services, followed by the operator's source text. */
  readonly bytes: Uint8Array;
  /** Number of bytes at the start that hold the routes and services. */
  readonly routingBytes: number;
}

/** Uploads a part of a packed document; the last part puts it in force. */
export interface PutDocumentPart {
  readonly version: number;
  /**
   * Digest of the whole document, by which parts from several senders are
   * combined.
   */
  readonly digest: string;
  readonly totalBytes: number;
  readonly routingBytes: number;
  /** Offset of the part in the whole document. */
  readonly offset: number;
  readonly part: Uint8Array;
}

/** Reply to a {@linkcode PutDocumentPart}. */
export interface DocumentProgress {
  /** Version that is in force now. */
  readonly version: number;
  /**
   * Bytes of the document received so far; 0 without a pending upload of it.
   */
  readonly heldBytes: number;
}

/** Forms in which a packed document can be read. */
export const DOCUMENT_FORMS = {
  /** Only the routes and services, for routing. */
  ROUTING: "routing",
  /** The operator's source text, to return it to operators. */
  SOURCE: "source",
} as const;

/** One of {@linkcode DOCUMENT_FORMS}. */
export type DocumentForm = typeof DOCUMENT_FORMS[keyof typeof DOCUMENT_FORMS];

/** Requests a part of one form of a document from the leader. */
export interface ReadDocumentPart {
  /** Version to read; if it is no longer stored, the one in force is read. */
  readonly version: number;
  readonly form: DocumentForm;
  readonly offset: number;
  /** Maximum size of the part, bytes. */
  readonly mostBytes: number;
}

/** Reply to a {@linkcode ReadDocumentPart}. */
export interface DocumentPart {
  /** Version that the part belongs to; -1 if there is no document yet. */
  readonly version: number;
  /** Total size of the form, bytes. */
  readonly totalBytes: number;
  readonly part: Uint8Array;
}

/** Confirms that a document was accepted, or that no change was needed. */
export interface DocumentAck {
  /** Version that is in force now. */
  readonly version: number;
}

/** Version of the newest document, confirmed by a quorum. */
export interface NewestDocument {
  /** -1 if there is none yet. */
  readonly version: number;
}

/** Source text of the newest document, as the operator wrote it. */
export interface DocumentSource {
  /** -1 if there is none yet. */
  readonly version: number;
  readonly source: Uint8Array;
}

/** A turn of a program's history, as it is stored. */
export interface TurnRecord {
  readonly turnId: string;
  /** Turn that this one continues; empty at the start of a turn chain. */
  readonly previousId: string;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
  /** Instance id of the upstream that ran the turn. */
  readonly upstream: string;
}

/** Begins a turn: reserves its tokens and reads the turns that it continues. */
export interface BeginTurn extends TurnReservation {
  /** Latest turn of the chain that the gateway lacks; empty if it has all. */
  readonly missingFrom: string;
  /**
   * Turns that the gateway has together with all earlier ones, so that only
   * later ones need to be sent; missing if it has none.
   */
  readonly knownTurns?: readonly string[];
  /** Missing if the gateway places the turn itself. */
  readonly demand?: PlacementDemand;
  /** Missing in earlier releases. */
  readonly precedence?: RequestPrecedence;
}

/** Which requests a busy leader starts first. */
export interface RequestPrecedence {
  /** Priority of the program; 0 is the most urgent. */
  readonly priority: number;
  /** True if the program should have finished before now. */
  readonly isLate: boolean;
}

/** What the leader needs to place a turn on an upstream. */
export interface PlacementDemand {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until the whole program should be finished, ms; missing if not given. */
  readonly finishMilliseconds?: number;
  /** Time until the caller stops to wait for the answer, ms. */
  readonly leftMilliseconds: number;
  /** Tokens of the complete prompt; 0 if not known. */
  readonly promptTokens: number;
  /** Tokens of the prompt without its last part. */
  readonly historyTokens: number;
  /** Name of the gateway. */
  readonly gateway: string;
  /** Failure domain of the gateway. */
  readonly failureDomain: string;
}

/** Reserves tokens and quota for a turn. */
export interface TurnReservation {
  readonly turnId: string;
  readonly programId: string;
  /** Turn that this one continues; empty at the start of a turn chain. */
  readonly previousId: string;
  /** Tokens that the program may generate in total; -1 for no limit. */
  readonly tokenBudget: number;
  /** Maximum number of tokens that this turn may generate. */
  readonly mostTokens: number;
  /**
   * Time for which the turn may stay open at most, ms; its history is kept for as
   * long. Missing in earlier releases.
   */
  readonly openMilliseconds?: number;
  /** Quota to which the turn is charged; missing if there is none. */
  readonly quota?: QuotaLimit;
}

/** Reply to a {@linkcode BeginTurn}. */
export interface BeginTurnReply {
  /** The turns from `missingFrom` back to a known one, newest first. */
  readonly turns: readonly TurnRecord[];
  /**
   * Length of the inputs and outputs of all turns that this one continues, bytes;
   * missing in earlier releases.
   */
  readonly historyBytes?: number;
  /** Upstream that ran the program's latest turn; empty if unknown. */
  readonly latestUpstream?: string;
  /** Upstream on which the leader placed the turn; missing if it did not. */
  readonly upstream?: string;
  /**
   * True if this request charged the turn to its quota; a turn that had already
   * begun was charged by the earlier request.
   */
  readonly isCharged?: boolean;
}

/**
 * Ends a turn: settles its token reservation and stores it if it is complete.
 */
export interface EndTurn {
  readonly turnId: string;
  readonly programId: string;
  readonly previousId: string;
  /** True if the answer is complete and about to be sent to the caller. */
  readonly whole: boolean;
  /** Tokens that were sent to the caller. */
  readonly tokens: number;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
  readonly upstream: string;
  readonly retentionMilliseconds: number;
  /**
   * Permits for requests that are expected to follow; missing if there are
   * none.
   */
  readonly charge?: QuotaCharge;
  /** Missing if the leader did not place the turn. */
  readonly report?: PlacementReport;
  /** Missing in earlier releases. */
  readonly precedence?: RequestPrecedence;
}

/** What a gateway observed of a turn that the leader placed. */
export interface PlacementReport {
  /** Upstreams that failed or refused the turn. */
  readonly failedUpstreams: readonly string[];
  /** Time from the send to the first event, ms; -1 if there was none. */
  readonly firstMilliseconds: number;
  /** Time from the first event to the last, ms. */
  readonly streamMilliseconds: number;
  /** Tokens of all events after the first. */
  readonly streamTokens: number;
}

/** Reply to an {@linkcode EndTurn}. */
export interface EndTurnReply {
  /** Permits that were granted; missing if none were requested. */
  readonly permits?: number;
}

/** Names the store to retire, or the one whose retirement is asked about. */
export interface RetireStore {
  readonly name: string;
}

/** Progress of a retirement. */
export interface RetirementStatus {
  readonly done: boolean;
}
