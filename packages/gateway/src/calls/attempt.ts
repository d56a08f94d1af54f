/** What an attempt of a call gets, and how it ends. */

import type { Buffer } from "node:buffer";
import type { CodedError } from "@mallowlift/core";
import type { AnswerHead, CallerDialect } from "../dialect.ts";
import type { ByteReservation } from "../memory/byte_account.ts";
import type {
  AnswerFraming,
  ReceivedAnswer,
  StreamProgress,
} from "../upstreams/answer_framing.ts";
import type { UnsentRequests } from "../upstreams/unsent_requests.ts";
import type { ConnectionLimits, Upstream } from "../upstreams/upstream.ts";
import type {
  LossCause,
  OutgoingRequest,
} from "../upstreams/upstream_connection.ts";
import type { EarlierSends } from "./earlier_sends.ts";
import type { AnswerSource } from "./open_call.ts";

/**
 * How an attempt ended: with a complete answer, certainly not run, or lost, so
 * that it may have run.
 */
export type AttemptResult = AttemptEnd & {
  /** Undefined if no head of an answer to the request arrived. */
  readonly received?: ReceivedAnswer | undefined;
};

/** How an attempt ended, without what arrived of its answer. */
export type AttemptEnd =
  | {
    readonly kind: "whole";
    readonly head: AnswerHead;
    /** Empty if the answer was streamed to the caller. */
    readonly body: Buffer;
    readonly streamed: boolean;
  }
  | { readonly kind: "not_run"; readonly error: CodedError }
  | {
    readonly kind: "lost";
    readonly error: CodedError;
    readonly cause: LossCause;
  };

/** Receives the events of a stream as they arrive. */
export interface EventSink {
  start(head: AnswerHead): void;
  /** Returns false if the stream is longer than the call allows. */
  push(bytes: Buffer): boolean;
  /** True if this gateway, and not the upstream, ends the stream. */
  readonly lacksRoom: boolean;
  /** How far the stream of this attempt has come. */
  readonly progress: StreamProgress;
  /** Called when the stream is complete. */
  complete(): void;
  /** Id of the last event that was sent to the caller; empty if there is none. */
  readonly lastId: string;
  /** True if another upstream can resume the stream after the last sent event. */
  readonly canResume: boolean;
}

/** Receives a large answer as it arrives. */
export interface BodySink {
  /** Returns false if the caller has received the beginning of another answer. */
  start(head: AnswerHead, framing: AnswerFraming): boolean;
  push(bytes: Buffer): void;
}

/** Holds and resumes the reading of an answer, as its caller reads. */
export interface FlowControl {
  /** Sets what is read now; undefined once the answer has ended. */
  setSource(source: AnswerSource | undefined): void;
}

/** The upstream, the request and the limits of an attempt. */
export interface AttemptOptions {
  readonly upstream: Upstream;
  readonly request: OutgoingRequest;
  readonly callId: string;
  /** The other sends of the call so far. */
  readonly earlier: EarlierSends;
  readonly dialect: CallerDialect;
  readonly limits: ConnectionLimits;
  /** Aborts when the call times out or its caller disconnects. */
  readonly signal: AbortSignal;
  /** Wait for the head of an answer after which the attempt is abandoned, ms. */
  readonly silentMilliseconds: number;
  /** Pause within a stream after which the attempt is abandoned, ms. */
  readonly streamSilentMilliseconds: number;
  /** Largest answer, bytes; a larger one is broken off. */
  readonly maxAnswerBytes: number;
  /** Missing if the route does not stream events. */
  readonly events?: EventSink;
  readonly body: BodySink;
  readonly flow: FlowControl;
  /** Opens a reservation for the answer as it is buffered. */
  readonly openAnswer: () => ByteReservation;
  /** Request bytes that wait for upstreams. */
  readonly unsent: UnsentRequests;
  /** Why the request may not be written now; undefined if it may. */
  readonly findRefusal: (now: number) => CodedError | undefined;
}
