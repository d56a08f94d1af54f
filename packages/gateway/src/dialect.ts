/**
 * Interfaces between the gateway and the formats of callers, upstreams and
 * operators.
 */

import type { Server } from "@hapi/hapi";
import type {
  CodedError,
  DocumentAck,
  DocumentSource,
  Outcome,
  RetirementStatus,
  RoutingDocument,
} from "@mallowlift/core";

import type { Rank } from "./calls/program_urgency.ts";
import type { PromptPart } from "./upstreams/prompt_memory.ts";

/** Raw headers, in which names and values alternate. */
export type RawHeaders = readonly string[];

/** The head of a caller's request. */
export interface CallHead {
  readonly method: string;
  /** Path with the query. */
  readonly target: string;
  readonly headers: RawHeaders;
}

/** Details of a request from its caller. */
export interface CallFacts {
  /** Unique id of this attempt of the caller. */
  readonly callId: string;
  /** Time that the caller waits for the answer, ms; Infinity if not given. */
  readonly callerTimeoutMilliseconds: number;
  /** Program that the request belongs to; empty if none. */
  readonly programId: string;
  /** Id of the turn that this turn continues; empty for the first turn. */
  readonly previousTurnId: string;
  /**
   * Number of tokens that the whole program may generate; -1 if not limited.
   */
  readonly tokenBudget: number;
  /** Largest number of tokens that this turn may generate. */
  readonly mostTokens: number;
  /** Key of the object that the request concerns; empty if none. */
  readonly objectKey: string;
  /**
   * Time until the whole program should be finished, ms; Infinity if not given.
   */
  readonly finishMilliseconds: number;
  /** Parts of the prompt in order; empty if not given. */
  readonly promptParts: readonly PromptPart[];
}

/**
 * Details of an attempt that the gateway sends to the upstream with the
 * request.
 */
export interface AttemptFacts {
  readonly remainingMilliseconds: number;
  /** Id of the only instance that may run the request. */
  readonly instanceId: string;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Rank among the requests of the route. */
  readonly rank: Rank;
  /**
   * Name of the caller's workspace; empty if it has none. Undefined on a site
   * without workspaces, where the upstream checks the caller's key.
   */
  readonly workspace?: string;
}

/** The head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** Details of an answer from the upstream. */
export interface AnswerFacts {
  /** Id of the request that the answer belongs to; undefined if not given. */
  readonly callId: string | undefined;
  /**
   * Id that no other answer of the upstream has, also to the same request;
   * undefined if not given.
   */
  readonly answerId: string | undefined;
  /** True if the upstream guarantees that it has not run the request. */
  readonly notRun: boolean;
  /** True if the answer comes from another instance than the requested one. */
  readonly isWrongInstance: boolean;
  /** False if a successful answer lacks the marks that every upstream sets. */
  readonly isGenuine: boolean;
}

/** An answer that the gateway itself creates. */
export interface GatewayAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: string;
}

/** Translates the requests of callers and the answers of upstreams. */
export interface CallerDialect {
  /** Reads the details of a caller's request. */
  readCall(head: CallHead): Outcome<CallFacts>;
  /** Returns the headers for an upstream, without those that frame the body. */
  writeAttempt(headers: RawHeaders, facts: AttemptFacts): RawHeaders;
  /** Reads the details of an upstream's answer. */
  readAnswer(head: AnswerHead): AnswerFacts;
  /** Creates the answer for a refusal or a failure. */
  writeFailure(error: CodedError): GatewayAnswer;
}

/** Actions that operators can take. */
export interface OperatorActions {
  /** Largest accepted size of a document's source, bytes. */
  readonly maxDocumentBytes: number;
  /** Checks a document and puts it in force. */
  replace(
    document: RoutingDocument,
    source: Uint8Array,
  ): Promise<Outcome<DocumentAck>>;
  /**
   * Reads the newest document; fails if it cannot be confirmed as the newest.
   */
  read(): Promise<Outcome<DocumentSource>>;
  /** Starts to retire a store, so that it can be removed. */
  retire(name: string): Promise<Outcome<unknown>>;
  /** Returns the progress of a store's retirement. */
  describeRetirement(name: string): Promise<Outcome<RetirementStatus>>;
}

/** Defines the HTTP routes for operators. */
export interface OperatorDialect {
  /** Adds the routes to the server. */
  addRoutes(server: Server, actions: OperatorActions): void;
}
