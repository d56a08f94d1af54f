/**
 * Maps the name of each internal handler to its request, reply and chunk types.
 */

import type {
  Answer,
  AttemptKey,
  CallBody,
  CallKey,
  ChatMessage,
  HistoryTurn,
} from "./calls.ts";
import type {
  AppendReply,
  AppendRequest,
  FoundingQuery,
  FoundingState,
  GroupStatus,
  HandoverRequest,
  JoinRequest,
  SnapshotReply,
  SnapshotRequest,
  VoteReply,
  VoteRequest,
} from "./consensus.ts";
import type { EndReason, ProgramSpec, ProgramView } from "./programs.ts";
import type {
  OrderResult,
  Resource,
  ResourceChange,
  ResourceOrder,
} from "./resources.ts";
import type { SidecarReport, SidecarStatus } from "./sidecars.ts";
import type { InstanceListReply, ReadInstanceList } from "./instances.ts";
import type { ReadQuarantine, ShareQuarantine } from "./quarantine.ts";
import type { TakePermits, TakePermitsReply } from "./quotas.ts";
import type {
  BeginTurn,
  BeginTurnReply,
  DirectoryComparison,
  DirectoryDifference,
  DirectoryExchange,
  DocumentPart,
  DocumentProgress,
  EndTurn,
  EndTurnReply,
  FollowReply,
  FollowRequest,
  FoundingClaim,
  FoundingGrant,
  NewestDocument,
  PutDocumentPart,
  ReadDocumentPart,
  RetirementStatus,
  RetireStore,
} from "./site.ts";

/** A message without content. */
export interface EmptyMessage {
  readonly nothing?: undefined;
}

/** Requests the changes since a revision and reports the one in force. */
export interface ConfigurationPoll {
  readonly daemonId: string;
  readonly bootId: string;
  /** Revision in force at the requesting daemon; -1 if it has none. */
  readonly revision: number;
  /** Time that the leader may hold the poll open while nothing changes. */
  readonly holdMilliseconds: number;
}

/** Reply to a {@linkcode ConfigurationPoll}. */
export interface ConfigurationUpdate {
  readonly revision: number;
  /**
   * True if `resources` is the complete state, false if `changes` is to be
   * applied.
   */
  readonly whole: boolean;
  readonly resources: readonly Resource[];
  readonly changes: readonly ResourceChange[];
}

/** Asks the owner to run a call, or attaches to it if it is already running. */
export interface RunCallRequest extends CallKey {
  readonly outfit: string;
  readonly body: CallBody;
  /** True if the entry attaches to the text stream of each attempt. */
  readonly stream: boolean;
  /**
   * Text that the caller already received from an attempt of an earlier owner.
   */
  readonly told: string;
}

/** Reports to the entry where the call runs, or that an attempt was lost. */
export interface RunCallEvent {
  readonly event: "dispatched" | "lost";
  readonly attempt: AttemptKey;
  readonly address: string;
  readonly bootId: string;
  /** Text that the caller received before the first text of this attempt. */
  readonly told: string;
}

/** The recorded result of a call. */
export interface RunCallReply {
  readonly code: string;
  readonly message: string;
  readonly answer: Answer;
  readonly turn: number;
  readonly digest: string;
}

/** Reports to the owner the text that a caller received from a lost attempt. */
export interface DeliveredText extends CallKey {
  readonly attempt: number;
  readonly text: string;
}

/** Dispatches an attempt from its owner to a sidecar. */
export interface DispatchRequest {
  readonly key: AttemptKey;
  readonly term: number;
  /** Boot id of the sidecar in the recorded dispatch intent. */
  readonly bootId: string;
  readonly outfit: string;
  readonly priority: number;
  /** Tokens that the program and its descendants have used so far. */
  readonly attainedTokens: number;
  /** Deadline by the wall clock, Unix ms; afterwards no caller waits. */
  readonly deadlineAt: number;
  readonly body: CallBody;
  /** The complete prompt of a model call. */
  readonly prompt: readonly ChatMessage[];
  /** Text that the caller already received; the answer must begin with it. */
  readonly told: string;
}

/** State of an attempt, as its sidecar knows it. */
export interface AttemptState {
  readonly state: "running" | "finished" | "never_ran" | "outcome_unknown";
  readonly answer?: Answer;
}

/**
 * Names an attempt to query, await or cancel, and fences off older terms of its
 * group.
 */
export interface RecoverRequest {
  readonly key: AttemptKey;
  readonly term: number;
  readonly bootId: string;
}

/** Requests the text of a running attempt, starting at an offset. */
export interface AttachRequest {
  readonly key: AttemptKey;
  readonly offset: number;
}

/** A chunk of the text of an attempt. */
export interface TextChunk {
  readonly offset: number;
  readonly text: string;
}

/** Asks which of the given programs are alive. */
export interface AliveRequest {
  readonly group: number;
  readonly programIds: readonly string[];
}

/** Requests a lease on the orders to an upstream. */
export interface LeaseRequest {
  readonly upstream: string;
  readonly holder: string;
  readonly durationMilliseconds: number;
}

/** Reply to a {@linkcode LeaseRequest}. */
export interface LeaseReply {
  readonly granted: boolean;
  readonly fencingNumber: number;
  /**
   * Time to wait before another request, ms, during which another holder may
   * still use its lease; 0 if there is nothing to wait for.
   */
  readonly waitMilliseconds: number;
}

/** Status of a replica, for operators. */
export interface ReplicaStatus {
  readonly replicaId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly groups: readonly GroupStatus[];
  readonly sidecars: readonly SidecarStatus[];
  readonly followers: readonly FollowerStatus[];
  readonly revision: number;
  readonly openCalls: number;
  readonly programs: number;
}

/** A daemon that polls the configuration. */
export interface FollowerStatus {
  readonly daemonId: string;
  readonly revision: number;
  readonly silentMilliseconds: number;
}

interface Signature<Request, Reply, Chunk = EmptyMessage> {
  readonly request: Request;
  readonly reply: Reply;
  readonly chunk: Chunk;
}

/** Every handler that a mallowlift process serves to other processes. */
export interface InternalHandlers {
  "consensus.vote": Signature<VoteRequest, VoteReply>;
  "consensus.append": Signature<AppendRequest, AppendReply>;
  "consensus.snapshot": Signature<SnapshotRequest, SnapshotReply>;
  "consensus.founding": Signature<FoundingQuery, FoundingState>;
  "consensus.join": Signature<JoinRequest, EmptyMessage>;
  "consensus.handover": Signature<HandoverRequest, EmptyMessage>;
  "configuration.poll": Signature<ConfigurationPoll, ConfigurationUpdate>;
  "configuration.order": Signature<ResourceOrder, OrderResult>;
  "configuration.lease": Signature<LeaseRequest, LeaseReply>;
  "programs.create": Signature<CreateProgramRequest, ProgramView>;
  "programs.read": Signature<ReadProgramRequest, ProgramView>;
  "programs.history": Signature<ReadHistoryRequest, HistoryPage>;
  "programs.end": Signature<EndProgramRequest, ProgramView>;
  "programs.alive": Signature<AliveRequest, AliveReply>;
  "calls.run": Signature<RunCallRequest, RunCallReply, RunCallEvent>;
  "calls.told": Signature<DeliveredText, EmptyMessage>;
  "sidecars.report": Signature<SidecarReport, EmptyMessage>;
  "attempts.dispatch": Signature<DispatchRequest, Answer>;
  "attempts.await": Signature<RecoverRequest, Answer>;
  "attempts.attach": Signature<AttachRequest, EmptyMessage, TextChunk>;
  "attempts.recover": Signature<RecoverRequest, AttemptState>;
  "attempts.cancel": Signature<RecoverRequest, EmptyMessage>;
  "cache.release": Signature<ReleaseRequest, EmptyMessage>;
  "replica.status": Signature<EmptyMessage, ReplicaStatus>;
  "directory.exchange": Signature<DirectoryExchange, DirectoryExchange>;
  "directory.compare": Signature<DirectoryComparison, DirectoryDifference>;
  "directory.claim": Signature<FoundingClaim, FoundingGrant>;
  "site.follow": Signature<FollowRequest, FollowReply>;
  "instances.read": Signature<ReadInstanceList, InstanceListReply>;
  "document.put": Signature<PutDocumentPart, DocumentProgress>;
  "document.read": Signature<ReadDocumentPart, DocumentPart>;
  "document.newest": Signature<EmptyMessage, NewestDocument>;
  "site.retire": Signature<RetireStore, EmptyMessage>;
  "site.retirement": Signature<RetireStore, RetirementStatus>;
  "turns.begin": Signature<BeginTurn, BeginTurnReply>;
  "turns.end": Signature<EndTurn, EndTurnReply>;
  "quota.take": Signature<TakePermits, TakePermitsReply>;
  "quarantine.share": Signature<ShareQuarantine, EmptyMessage>;
  "quarantine.read": Signature<ReadQuarantine, ShareQuarantine>;
}

/** Creates a program. */
export interface CreateProgramRequest {
  readonly programId: string;
  readonly spec: ProgramSpec;
}

/** Reads a program of an outfit. */
export interface ReadProgramRequest {
  readonly programId: string;
  readonly outfit: string;
}

/** Ends a program of an outfit. */
export interface EndProgramRequest extends ReadProgramRequest {
  readonly reason: EndReason;
}

/** Reads the history of a program of an outfit. */
export interface ReadHistoryRequest extends ReadProgramRequest {
  /** First turn to return, counted from 1. */
  readonly fromTurn: number;
  readonly limit: number;
}

/** A page of a program's history. */
export interface HistoryPage {
  readonly program: ProgramView;
  readonly turns: readonly HistoryTurn[];
}

/** Reply to an {@linkcode AliveRequest}. */
export interface AliveReply {
  readonly alive: readonly string[];
}

/** Tells a sidecar to free the engine's cache of a program. */
export interface ReleaseRequest {
  readonly programId: string;
}

/** Name of an internal handler. */
export type HandlerName = keyof InternalHandlers;
