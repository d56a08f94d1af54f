/** Reads the body of a caller's request, within its limits. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import {
  ByteCollector,
  fail,
  type Outcome,
  RESULT_CODES,
  type ResultCode,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import { type ByteReservation, SMALL_BYTES } from "../memory/byte_account.ts";

/** Limits of one body. */
export interface BodyLimits {
  /** Largest body, bytes. */
  readonly maxBytes: number;
  /**
   * Memory that a body in chunks reserves once it is no longer small, bytes.
   * Pages are used only as they are written, so this costs less than many
   * smaller steps, each of which copies what has arrived.
   */
  readonly stepBytes: number;
  /** Time until which the whole body must have arrived, ms from now. */
  readonly withinMilliseconds: number;
  /**
   * Time without any byte of the body after which it counts as late, ms; it may
   * take up to twice as long to be noticed.
   */
  readonly stallMilliseconds: number;
}

/** Longest delay that Node.js accepts, ms. */
const MAX_TIMER_MILLISECONDS = 2_147_483_647;

/** The declared length of a request's body, bytes; undefined if it is not known. */
export function findBodyLength(request: IncomingMessage): number | undefined {
  const { headers } = request;
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}

/**
 * Resolves with the whole body. A body with a length is read into one buffer,
 * for which memory is reserved already; for one in chunks, the memory is
 * reserved as it arrives.
 *
 * Fails with `BODY_TOO_LARGE` above the limit, with `REQUESTS_FULL` without
 * room, with `BODY_TIMEOUT` if the body arrives too slowly, and with
 * `CALLER_LEFT` if the caller disconnects.
 */
export function readBody(
  request: IncomingMessage,
  reservation: ByteReservation,
  limits: BodyLimits,
): Promise<Outcome<Buffer>> {
  return new Promise((resolve) => {
    const reader = new BodyReader(request, { reservation, limits });
    reader.start(resolve);
  });
}

class BodyReader {
  readonly #request: IncomingMessage;
  readonly #reservation: ByteReservation;
  readonly #limits: BodyLimits;
  readonly #length: number | undefined;
  readonly #collector = new ByteCollector();
  #resolve: (outcome: Outcome<Buffer>) => void = () => undefined;
  #parts = 0;
  #checkedParts = 0;
  #isSettled = false;
  #stallTimer: NodeJS.Timeout | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  readonly #onData = (bytes: Buffer) => this.#handleData(bytes);
  readonly #onEnd = () => this.#finish();
  readonly #onLeft = () => this.#fail(RESULT_CODES.CALLER_LEFT);

  constructor(
    request: IncomingMessage,
    parts: {
      readonly reservation: ByteReservation;
      readonly limits: BodyLimits;
    },
  ) {
    this.#request = request;
    this.#reservation = parts.reservation;
    this.#limits = parts.limits;
    this.#length = findBodyLength(request);
  }

  start(resolve: (outcome: Outcome<Buffer>) => void): void {
    this.#resolve = resolve;
    if (this.#length !== undefined) this.#collector.reserve(this.#length);
    const { withinMilliseconds, stallMilliseconds } = this.#limits;
    const request = this.#request;
    if (request.destroyed) return this.#onLeft();
    request.on("data", this.#onData).on("end", this.#onEnd);
    request.on("error", this.#onLeft).on("close", this.#onLeft);
    if (this.#length === 0) return;
    this.#deadlineTimer = this.#startTimer(withinMilliseconds);
    this.#stallTimer = this.#startTimer(
      stallMilliseconds,
      () => this.#checkStall(),
    );
  }

  /**
   * A process that was suspended gets its timers before the bytes that have
   * arrived meanwhile, so these are read before the body counts as late.
   */
  #startTimer(
    milliseconds: number,
    isLate: () => boolean = () => true,
  ): NodeJS.Timeout {
    const delay = Math.min(Math.max(0, milliseconds), MAX_TIMER_MILLISECONDS);
    return setTimeout(() => {
      setImmediate(() => {
        if (isLate()) this.#fail(RESULT_CODES.BODY_TIMEOUT);
      });
    }, delay);
  }

  /** True if nothing has arrived since the last check. */
  #checkStall(): boolean {
    const hasArrived = this.#parts > this.#checkedParts;
    this.#checkedParts = this.#parts;
    if (hasArrived) this.#stallTimer?.refresh();
    return !hasArrived;
  }

  #handleData(bytes: Buffer): void {
    this.#parts++;
    const length = this.#collector.length + bytes.length;
    if (length > this.#limits.maxBytes) {
      return this.#fail(RESULT_CODES.BODY_TOO_LARGE);
    }
    if (this.#length === undefined && !this.#tryGrow(bytes.length)) {
      return this.#fail(RESULT_CODES.REQUESTS_FULL);
    }
    this.#collector.push(bytes);
  }

  /** Reserves memory for more bytes of a body in chunks. */
  #tryGrow(addedBytes: number): boolean {
    const { maxBytes, stepBytes } = this.#limits;
    const needed = this.#collector.findCapacity(addedBytes);
    if (needed <= this.#reservation.bytes) return true;
    const capacity = needed <= SMALL_BYTES
      ? needed
      : Math.min(maxBytes, Math.max(needed, stepBytes));
    if (!this.#reservation.tryResize(capacity)) return false;
    this.#collector.reserve(capacity);
    return true;
  }

  #finish(): void {
    this.#reservation.tryResize(this.#collector.length);
    this.#settle(Ok(this.#collector.bytes));
  }

  #fail(code: ResultCode): void {
    this.#settle(fail(code, code.meaning));
  }

  #settle(outcome: Outcome<Buffer>): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#stallTimer);
    clearTimeout(this.#deadlineTimer);
    const request = this.#request;
    request.off("data", this.#onData).off("end", this.#onEnd);
    request.off("close", this.#onLeft);
    this.#resolve(outcome);
  }
}
