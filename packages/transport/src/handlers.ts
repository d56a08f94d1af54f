/** Types of the calls between processes and of their handlers. */

import type { HandlerName, InternalHandlers, Outcome } from "@mallowlift/core";

/** Context of the call that a handler serves. */
export interface CallContext<Chunk> {
  /** Name that the calling daemon sent in the handshake. */
  readonly peer: string;
  /** Aborts when the caller cancels the call or its connection closes. */
  readonly signal: AbortSignal;
  /**
   * How long the request waited between its sender and this handler, ms, see
   * {@linkcode RequestAgeEstimator}; 0 if the sender does not tell when it sent it.
   */
  readonly ageMilliseconds: number;
  /**
   * When the sender stops to wait for the reply, by the local monotonic clock, ms;
   * Infinity if the sender does not tell.
   */
  readonly deadlineAt: number;
  /** Sends one chunk of a streamed reply. */
  sendChunk(chunk: Chunk): void;
}

/** Handles calls of one internal method. */
export type Handler<N extends HandlerName> = (
  request: InternalHandlers[N]["request"],
  context: CallContext<InternalHandlers[N]["chunk"]>,
) => Promise<Outcome<InternalHandlers[N]["reply"]>>;

/** Handlers of a process by the method that they serve. */
export type HandlerTable = { [N in HandlerName]?: Handler<N> };

/** Options of a call. */
export interface CallOptions<N extends HandlerName> {
  readonly timeoutMilliseconds: number;
  /** Called with each chunk of a streamed reply. */
  readonly onChunk?: (chunk: InternalHandlers[N]["chunk"]) => void;
  /** Cancels the call when it aborts. */
  readonly signal?: AbortSignal;
}

/** Calls methods of another process. */
export interface PeerClient {
  /** Bytes that are not sent yet, if known. */
  readonly unsentBytes?: number;
  /** Calls a method of the peer. */
  call<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>>;
}
