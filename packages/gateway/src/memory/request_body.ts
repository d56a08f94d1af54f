/** The body of a request and the memory that is reserved for it. */

import { Buffer } from "node:buffer";
import type { ByteReservation } from "./byte_account.ts";

const NO_BYTES = Buffer.alloc(0);

/** A body that was read; its memory is freed once the call has ended. */
export class RequestBody {
  #bytes: Buffer;
  readonly #reservation: ByteReservation | undefined;

  constructor(bytes: Buffer, reservation?: ByteReservation) {
    this.#bytes = bytes;
    this.#reservation = reservation;
  }

  /** The body; empty after {@linkcode release}. */
  get bytes(): Buffer {
    return this.#bytes;
  }

  /** Reserves memory for more bytes of the request; false if there is no room. */
  tryExtend(bytes: number): boolean {
    const reservation = this.#reservation;
    return reservation === undefined ||
      reservation.tryResize(reservation.bytes + bytes);
  }

  /** Frees the body and all that was reserved with it. */
  release(now: number): void {
    this.#bytes = NO_BYTES;
    this.#reservation?.release(now);
  }
}
