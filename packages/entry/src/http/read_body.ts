/** Reads the JSON bodies of requests. */

import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Request } from "@hapi/hapi";
import {
  ByteCollector,
  fail,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { EntryContext } from "../entry_context.ts";
import { authenticateOutfit } from "./authentication.ts";
import { DRAINING_ERROR, STOPPING } from "./open_requests.ts";

/** Longest time that the body of a request may take to arrive, ms. */
const BODY_TIMEOUT_MILLISECONDS = 10_000;
/**
 * Longest time that the rest of a refused body is read, ms: a connection that is
 * closed over unread bytes is reset, and the caller may not get the answer.
 */
const DISCARD_TIMEOUT_MILLISECONDS = 1_000;
/** The same at the end of a stop, ms. */
const FINAL_DISCARD_MILLISECONDS = 100;
/** Most bodies are held for as long as a call takes, ms. */
const OVERLOADED_RETRY_MILLISECONDS = 1_000;
const PROTOTYPE_KEY = "__proto__";

/**
 * Reads and parses the body of a request.
 *
 * @returns null if there is no body, or DRAINING, BODY_TIMEOUT, BODY_TOO_LARGE,
 * OVERLOADED, CALLER_LEFT or MALFORMED_JSON
 */
export async function readBody(
  context: EntryContext,
  request: Request,
): Promise<Outcome<unknown>> {
  const stream = findStream(request);
  if (stream === undefined) return Ok(null);
  const bytes = await collectBytes(context, request, stream);
  if (bytes.err) return bytes;
  if (bytes.val.length === 0) return Ok(null);
  try {
    return Ok(JSON.parse(bytes.val.bytes.toString(), rejectPrototype));
  } catch {
    const code = RESULT_CODES.MALFORMED_JSON;
    return fail(code, code.meaning);
  }
}

/**
 * Reads what is left of a refused body, for a limited time; shorter if the
 * signal has aborted because the end of a stop is near.
 */
export async function discardBody(
  request: Request,
  signal?: AbortSignal,
): Promise<void> {
  const stream = findStream(request);
  if (stream === undefined || stream.readableEnded || stream.destroyed) return;
  await new Promise<void>((resolve) => {
    const isLate = signal?.aborted === true;
    const timer = setTimeout(
      resolve,
      isLate ? FINAL_DISCARD_MILLISECONDS : DISCARD_TIMEOUT_MILLISECONDS,
    );
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    for (const event of ["end", "error", "close"]) stream.once(event, finish);
    stream.resume();
  });
}

/** Returns the stream of a body; undefined if the method has none. */
function findStream(request: Request): Readable | undefined {
  const stream = request.payload as unknown as Readable | null | undefined;
  return typeof stream?.once === "function" ? stream : undefined;
}

async function collectBytes(
  context: EntryContext,
  request: Request,
  stream: Readable,
): Promise<Outcome<ByteCollector>> {
  const signal = context.requests.getSignal(request);
  const collector = new ByteCollector();
  const held = context.bodies.open(findHolder(context, request));
  const release = () => held.release();
  request.raw.res.once("close", release);
  const declared = Number(request.headers["content-length"] ?? 0);
  if (!held.add(declared)) return failOverloaded();
  return await new Promise((resolve) => {
    const onData = (part: Buffer) => {
      if (collector.length + part.length > context.maxBodyBytes) {
        const code = RESULT_CODES.BODY_TOO_LARGE;
        return finish(fail(code, code.meaning));
      }
      const excess = collector.length + part.length - declared;
      if (excess > 0 && !held.add(Math.min(excess, part.length))) {
        return finish(failOverloaded());
      }
      collector.push(part);
    };
    const onEnd = () => finish(Ok(collector));
    const onError = () =>
      finish(fail(
        RESULT_CODES.MALFORMED_JSON,
        RESULT_CODES.MALFORMED_JSON.meaning,
      ));
    const onClose = () =>
      finish(fail(RESULT_CODES.CALLER_LEFT, RESULT_CODES.CALLER_LEFT.meaning));
    const onAbort = () => {
      const { code, message, retryAfterMilliseconds } = DRAINING_ERROR;
      if (signal.reason !== STOPPING) return onClose();
      finish(fail(code, message, retryAfterMilliseconds));
    };
    const timer = setTimeout(
      () =>
        finish(fail(
          RESULT_CODES.BODY_TIMEOUT,
          RESULT_CODES.BODY_TIMEOUT.meaning,
        )),
      BODY_TIMEOUT_MILLISECONDS,
    );
    const finish = (outcome: Outcome<ByteCollector>) => {
      clearTimeout(timer);
      if (outcome.err) release();
      stream.off("data", onData).off("end", onEnd).off("close", onClose);
      signal.removeEventListener("abort", onAbort);
      resolve(outcome);
    };
    stream.on("data", onData).once("end", onEnd).once("close", onClose);
    // Stays, so that a later error of a refused body is handled too.
    stream.on("error", onError);
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) onAbort();
  });
}

/** Returns the outfit that a request names, or "" for all other requests. */
function findHolder(context: EntryContext, request: Request): string {
  const outfit = authenticateOutfit(request, context.follower.view);
  return outfit.ok ? outfit.val.name : "";
}

function failOverloaded(): Outcome<never> {
  return fail(
    RESULT_CODES.OVERLOADED,
    "This entry holds too many bytes of requests",
    OVERLOADED_RETRY_MILLISECONDS,
  );
}

/** Throws for a key that would replace the prototype of the parsed object. */
function rejectPrototype(key: string, value: unknown): unknown {
  if (key === PROTOTYPE_KEY) throw new SyntaxError("Key is not allowed");
  return value;
}
