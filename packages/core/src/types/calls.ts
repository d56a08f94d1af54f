/** Calls of programs, their answers and the turns of a history. */

/** One message of a chat prompt. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A call to a model. Model calls are idempotent. */
export interface ModelCall {
  readonly kind: "model";
  readonly model: string;
  /** The new messages; the owner prepends the program's history. */
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
}

/** A call to a service that is not a model. */
export interface ServiceCall {
  readonly kind: "service";
  readonly service: string;
  readonly operation: string;
  /** Request body for the service, as JSON text. */
  readonly payload: string;
  readonly idempotent: boolean;
}

/** The content of a call: a model call or a service call. */
export type CallBody = ModelCall | ServiceCall;

/** Token counts of one answer, as reported by the engine. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** A complete answer. */
export interface Answer {
  readonly text: string;
  /** Finish reason of the engine, or the HTTP status of a service as text. */
  readonly finish: string;
  readonly usage: Usage;
}

/** Usage of an answer that was not produced by an engine. */
export const NO_USAGE: Usage = {
  promptTokens: 0,
  cachedTokens: 0,
  completionTokens: 0,
};

/** One turn in the history of a program. */
export interface HistoryTurn {
  readonly turn: number;
  readonly requestId: string;
  readonly body: CallBody;
  readonly answer: Answer;
  /** Name of the result code; OK for a successful call. */
  readonly code: string;
  /** Digest of the history up to and including this turn. */
  readonly digest: string;
}

/** Identifies a call of a program. */
export interface CallKey {
  readonly programId: string;
  readonly requestId: string;
}

/** Identifies one attempt to run a call on a sidecar. */
export interface AttemptKey extends CallKey {
  readonly group: number;
  readonly attempt: number;
  /**
   * Id of the call's acceptance: a call that was withdrawn may be accepted again
   * under its request id, and its attempts are numbered from 1 again. Missing in
   * keys of earlier versions.
   */
  readonly acceptance?: string | undefined;
}

/** Formats an attempt key as text, for map keys and logs. */
export function formatAttemptKey(key: AttemptKey): string {
  const { group, programId, requestId, attempt, acceptance } = key;
  const text = `${group}/${programId}/${requestId}/${attempt}`;
  return acceptance === undefined ? text : `${text}/${acceptance}`;
}

/** The key that earlier versions use, which all acceptances of a call share. */
export function dropAcceptance(key: AttemptKey): AttemptKey {
  const { acceptance: _acceptance, ...shared } = key;
  return shared;
}

/** Returns true if the call may safely run more than once. */
export function isIdempotent(body: CallBody): boolean {
  return body.kind === "model" || body.idempotent;
}
