/** Handlers that a process serves to its peers. */

import type { HandlerName, InternalHandlers, Outcome } from "@mallowlift/core";

/** What a handler knows of the call it serves. */
export interface CallContext<Chunk> {
  /** Name of the calling daemon, as it gave it. */
  readonly peer: string;
  /** Aborts when the caller cancels or its connection breaks. */
  readonly signal: AbortSignal;
  /** Sends one part of the answer. */
  sendChunk(chunk: Chunk): void;
}

/** Serves one internal method. */
export type Handler<N extends HandlerName> = (
  request: InternalHandlers[N]["request"],
  context: CallContext<InternalHandlers[N]["chunk"]>,
) => Promise<Outcome<InternalHandlers[N]["reply"]>>;

/** The methods that a process serves. */
export type HandlerTable = { [N in HandlerName]?: Handler<N> };

/** How to make a call. */
export interface CallOptions<N extends HandlerName> {
  readonly timeoutMilliseconds: number;
  readonly onChunk?: (chunk: InternalHandlers[N]["chunk"]) => void;
  readonly signal?: AbortSignal;
}

/** Something that calls can be made on. */
export interface Caller {
  /** Bytes that wait to be sent, where that is known. */
  readonly unsentBytes?: number;
  /** Calls a method of the peer. */
  call<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>>;
}
