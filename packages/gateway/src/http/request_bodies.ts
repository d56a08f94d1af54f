/** Admits, reads and bounds the bodies of all requests of a gateway. */

import { performance } from "node:perf_hooks";
import type { IncomingMessage } from "node:http";
import {
  fail,
  type Logger,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { CallFacts } from "../dialect.ts";
import type { ByteAccount } from "../memory/byte_account.ts";
import { refuseForRoom } from "../memory/refuse_for_room.ts";
import { RequestBody } from "../memory/request_body.ts";
import type { Admission } from "../workspaces/key_admission.ts";
import { findOwner } from "../workspaces/scoped_id.ts";
import { findBodyLength, readBody } from "./read_body.ts";

/** Fraction of the room that a body in chunks reserves once it is not small. */
const CHUNK_STEP_FRACTION = 1 / 6;

/** Options of {@linkcode RequestBodies}. */
export interface RequestBodiesOptions {
  /** Memory of all requests. */
  readonly account: ByteAccount;
  /** Time without any byte of a body after which its request is refused, ms. */
  readonly stallMilliseconds: number;
  readonly random: () => number;
  readonly logger: Logger;
}

/** A request whose body is to be read. */
export interface ArrivingRequest {
  readonly request: IncomingMessage;
  readonly admission: Admission;
  readonly facts: CallFacts;
  /** When the request arrived, by the local clock, ms. */
  readonly arrivedAt: number;
}

/** Reserves memory for bodies before it reads them. */
export class RequestBodies {
  readonly #options: RequestBodiesOptions;

  constructor(options: RequestBodiesOptions) {
    this.#options = options;
  }

  /**
   * Reads a body. Without room for it, the request is refused before the body is
   * read, or while it is read if its length was not known.
   */
  async read(arriving: ArrivingRequest): Promise<Outcome<RequestBody>> {
    const { request, admission, facts, arrivedAt } = arriving;
    const { account, stallMilliseconds } = this.#options;
    const { maxBodyBytes } = admission.table.document.limits;
    const length = findBodyLength(request) ?? 0;
    if (length > maxBodyBytes) {
      const { BODY_TOO_LARGE } = RESULT_CODES;
      return fail(BODY_TOO_LARGE, BODY_TOO_LARGE.meaning);
    }
    const now = performance.now();
    const owner = findOwner(admission.table.document, admission.workspace);
    const reservation = account.tryReserve(length, { owner, now });
    if (reservation === undefined) return this.#refuse(arriving, length);
    const allowed = Math.min(
      facts.callerTimeoutMilliseconds,
      admission.route.timeoutMilliseconds,
    );
    const body = await readBody(request, reservation, {
      maxBytes: maxBodyBytes,
      stepBytes: account.maxBytes * CHUNK_STEP_FRACTION,
      withinMilliseconds: arrivedAt + allowed - now,
      stallMilliseconds,
    });
    if (body.ok) return Ok(new RequestBody(body.val, reservation));
    reservation.release(performance.now());
    const isFull = body.val.code === RESULT_CODES.REQUESTS_FULL;
    const askedBytes = account.maxBytes * CHUNK_STEP_FRACTION;
    return isFull ? this.#refuse(arriving, askedBytes) : body;
  }

  #refuse(arriving: ArrivingRequest, bytes: number): ReturnType<typeof fail> {
    const { facts, admission } = arriving;
    const { table, workspace } = admission;
    const { code, message, retryAfterMilliseconds } = refuseForRoom(
      this.#options,
      {
        callId: facts.callId,
        owner: findOwner(table.document, workspace),
        bytes,
        now: performance.now(),
      },
    );
    return fail(code, message, retryAfterMilliseconds);
  }
}
