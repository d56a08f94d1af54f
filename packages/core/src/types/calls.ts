/** Calls of a program, and their answers. */

/** One message of a chat prompt. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A call of a model. Model calls are idempotent. */
export interface ModelCall {
  readonly kind: "model";
  readonly model: string;
  /** The new messages; the history is put before them by the owner. */
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly kind: "service";
  readonly service: string;
  readonly operation: string;
  /** The JSON text that the service gets. */
  readonly payload: string;
  readonly idempotent: boolean;
}

/** What a caller asks for. */
export type CallBody = ModelCall | ServiceCall;

/** Tokens that one answer took, as the engine reports them. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** A whole answer. */
export interface Answer {
  readonly text: string;
  /** Why the engine stopped, or the HTTP status of a service as text. */
  readonly finish: string;
  readonly usage: Usage;
}

/** Usage of an answer that no engine produced. */
export const NO_USAGE: Usage = {
  promptTokens: 0,
  cachedTokens: 0,
  completionTokens: 0,
};

/** One turn of a program's history. */
export interface HistoryTurn {
  readonly turn: number;
  readonly requestId: string;
  readonly body: CallBody;
  readonly answer: Answer;
  /** Name of the result code; OK for an answer. */
  readonly code: string;
  /** Digest of the history up to and including this turn. */
  readonly digest: string;
}

/** Names one call of one program. */
export interface CallKey {
  readonly programId: string;
  readonly requestId: string;
}

/** Names one attempt to run a call on a sidecar. */
export interface AttemptKey extends CallKey {
  readonly group: number;
  readonly attempt: number;
}

/** Returns the text form of an attempt key, for maps and logs. */
export function formatAttemptKey(key: AttemptKey): string {
  return `${key.group}/${key.programId}/${key.requestId}/${key.attempt}`;
}

/** Returns true if the call may run more than once. */
export function isIdempotent(body: CallBody): boolean {
  return body.kind === "model" || body.idempotent;
}
