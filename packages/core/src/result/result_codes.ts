/**
 * The numbered result codes of mallowlift. A test checks that the table in
 * `docs/RESULT_CODES.md` matches this module.
 */

/** One row of the result code table. */
export interface ResultCode {
  /** Stable number that callers receive. */
  readonly number: number;
  /** Stable name, used in metrics and logs. */
  readonly name: string;
  /** HTTP status of answers with this code. */
  readonly httpStatus: number;
  /** True if the code guarantees that the call did not run and will not run. */
  readonly notRun: boolean;
  /**
   * Meaning of the code, in one or two sentences; often sent as the message.
   */
  readonly meaning: string;
}

function defineCode(
  number: number,
  name: string,
  details: { httpStatus: number; notRun: boolean; meaning: string },
): ResultCode {
  return { number, name, ...details };
}

/** All result codes, by name. */
export const RESULT_CODES = {
  OK: defineCode(0, "OK", {
    httpStatus: 200,
    notRun: false,
    meaning: "The request was carried out.",
  }),
  MALFORMED_JSON: defineCode(1001, "MALFORMED_JSON", {
    httpStatus: 400,
    notRun: true,
    meaning: "The body is not JSON.",
  }),
  BODY_TOO_LARGE: defineCode(1002, "BODY_TOO_LARGE", {
    httpStatus: 413,
    notRun: true,
    meaning: "The body is larger than the limit in the settings.",
  }),
  INVALID_FIELD: defineCode(1003, "INVALID_FIELD", {
    httpStatus: 400,
    notRun: true,
    meaning: "A field is unknown, missing, or has a value that is not allowed.",
  }),
  NOT_AUTHENTICATED: defineCode(1004, "NOT_AUTHENTICATED", {
    httpStatus: 401,
    notRun: true,
    meaning: "The bearer token is missing or unknown.",
  }),
  PROGRAM_NOT_FOUND: defineCode(1005, "PROGRAM_NOT_FOUND", {
    httpStatus: 404,
    notRun: true,
    meaning: "No program of this outfit has this id.",
  }),
  RESOURCE_NOT_FOUND: defineCode(1006, "RESOURCE_NOT_FOUND", {
    httpStatus: 404,
    notRun: true,
    meaning: "No resource of this kind has this name.",
  }),
  VERSION_CONFLICT: defineCode(1007, "VERSION_CONFLICT", {
    httpStatus: 409,
    notRun: true,
    meaning: "The resource has a different version than the order expects.",
  }),
  REQUEST_ID_REUSED: defineCode(1008, "REQUEST_ID_REUSED", {
    httpStatus: 409,
    notRun: true,
    meaning: "The request or order id was used before with other content.",
  }),
  ROUTE_NOT_FOUND: defineCode(1009, "ROUTE_NOT_FOUND", {
    httpStatus: 404,
    notRun: true,
    meaning: "The path or method does not exist.",
  }),
  NOT_ALLOWED: defineCode(1010, "NOT_ALLOWED", {
    httpStatus: 403,
    notRun: true,
    meaning: "The outfit may not use this model or service.",
  }),
  REVISION_GONE: defineCode(1011, "REVISION_GONE", {
    httpStatus: 410,
    notRun: true,
    meaning: "The watch starts before the oldest stored change.",
  }),

  TURN_NOT_FOUND: defineCode(1012, "TURN_NOT_FOUND", {
    httpStatus: 404,
    notRun: true,
    meaning: "The previous turn does not exist or is no longer stored.",
  }),
  INVALID_DOCUMENT: defineCode(1013, "INVALID_DOCUMENT", {
    httpStatus: 400,
    notRun: true,
    meaning: "The routing document is not valid; no part of it was applied.",
  }),
  DAEMON_NOT_FOUND: defineCode(1014, "DAEMON_NOT_FOUND", {
    httpStatus: 404,
    notRun: true,
    meaning: "No store of this site has this name.",
  }),
  TOO_FEW_STORES: defineCode(1015, "TOO_FEW_STORES", {
    httpStatus: 409,
    notRun: true,
    meaning: "Too few stores would remain.",
  }),
  BODY_TIMEOUT: defineCode(1016, "BODY_TIMEOUT", {
    httpStatus: 408,
    notRun: true,
    meaning: "The body of the request did not arrive in time.",
  }),
  QUEUE_FULL: defineCode(2001, "QUEUE_FULL", {
    httpStatus: 503,
    notRun: true,
    meaning: "Every suitable upstream has a full queue.",
  }),
  NO_UPSTREAM: defineCode(2002, "NO_UPSTREAM", {
    httpStatus: 503,
    notRun: true,
    meaning: "No live upstream serves this model or service.",
  }),
  CONFIGURATION_STALE: defineCode(2003, "CONFIGURATION_STALE", {
    httpStatus: 503,
    notRun: true,
    meaning: "The process could not confirm its configuration in time.",
  }),
  NO_LEADER: defineCode(2004, "NO_LEADER", {
    httpStatus: 503,
    notRun: true,
    meaning: "No leader answered for the group of this program.",
  }),
  BUDGET_EXCEEDED: defineCode(2005, "BUDGET_EXCEEDED", {
    httpStatus: 402,
    notRun: true,
    meaning: "The call could exceed the token budget of the program.",
  }),
  TURN_LIMIT: defineCode(2006, "TURN_LIMIT", {
    httpStatus: 409,
    notRun: true,
    meaning: "The program has used all its turns.",
  }),
  DEADLINE_PASSED: defineCode(2007, "DEADLINE_PASSED", {
    httpStatus: 409,
    notRun: true,
    meaning: "The deadline of the program has passed.",
  }),
  PROGRAM_ENDED: defineCode(2008, "PROGRAM_ENDED", {
    httpStatus: 409,
    notRun: true,
    meaning: "The program has ended.",
  }),
  DRAINING: defineCode(2009, "DRAINING", {
    httpStatus: 503,
    notRun: true,
    meaning: "The process or upstream is draining and accepts no new work.",
  }),
  STALE_TERM: defineCode(2010, "STALE_TERM", {
    httpStatus: 503,
    notRun: true,
    meaning: "The dispatch carries an older term than the sidecar has seen.",
  }),
  ATTEMPTS_EXHAUSTED: defineCode(2011, "ATTEMPTS_EXHAUSTED", {
    httpStatus: 503,
    notRun: true,
    meaning: "Every attempt was refused before it ran.",
  }),
  TOO_MANY_CALLS: defineCode(2012, "TOO_MANY_CALLS", {
    httpStatus: 429,
    notRun: true,
    meaning: "Too many calls of this program or outfit are already waiting.",
  }),

  NO_QUORUM: defineCode(2013, "NO_QUORUM", {
    httpStatus: 503,
    notRun: true,
    meaning: "The stores could not confirm the state that the request needs.",
  }),
  OVERLOADED: defineCode(2014, "OVERLOADED", {
    httpStatus: 503,
    notRun: true,
    meaning:
      "The process has reached its limit of open requests or of their bytes.",
  }),
  LEADER_BUSY: defineCode(2015, "LEADER_BUSY", {
    httpStatus: 503,
    notRun: true,
    meaning: "The leader could not process the command in time.",
  }),
  QUOTA_EXCEEDED: defineCode(2016, "QUOTA_EXCEEDED", {
    httpStatus: 429,
    notRun: true,
    meaning: "The workspace has used up its request quota for now.",
  }),
  REQUEST_QUARANTINED: defineCode(2017, "REQUEST_QUARANTINED", {
    httpStatus: 503,
    notRun: true,
    meaning:
      "Several upstreams ended while they ran this request, so it is not sent for now.",
  }),
  REQUESTS_FULL: defineCode(2018, "REQUESTS_FULL", {
    httpStatus: 503,
    notRun: true,
    meaning: "The gateway has no room for the bytes of this request for now.",
  }),
  HISTORY_INCOMPLETE: defineCode(2019, "HISTORY_INCOMPLETE", {
    httpStatus: 503,
    notRun: true,
    meaning: "The history of the turn is not available as a whole.",
  }),
  OUTCOME_UNKNOWN: defineCode(3001, "OUTCOME_UNKNOWN", {
    httpStatus: 502,
    notRun: false,
    meaning: "The call may have run. It is never sent again.",
  }),
  UPSTREAM_ERROR: defineCode(3002, "UPSTREAM_ERROR", {
    httpStatus: 502,
    notRun: false,
    meaning: "The upstream answered with an error.",
  }),
  RETRIES_EXHAUSTED: defineCode(3003, "RETRIES_EXHAUSTED", {
    httpStatus: 502,
    notRun: false,
    meaning: "An idempotent call failed on every allowed attempt.",
  }),
  CANCELLED: defineCode(3004, "CANCELLED", {
    httpStatus: 409,
    notRun: false,
    meaning: "The program ended while the call was in progress.",
  }),
  STREAM_BROKEN: defineCode(3005, "STREAM_BROKEN", {
    httpStatus: 502,
    notRun: false,
    meaning:
      "The stream could not be continued; the complete answer is in the history.",
  }),
  OWNER_LOST: defineCode(3006, "OWNER_LOST", {
    httpStatus: 503,
    notRun: false,
    meaning:
      "The owner was lost while it handled the call. Send the request again with the same id.",
  }),

  CALL_TIMEOUT: defineCode(3007, "CALL_TIMEOUT", {
    httpStatus: 504,
    notRun: false,
    meaning: "The timeout of the route or of the caller expired.",
  }),
  ANSWER_SPOILED: defineCode(3008, "ANSWER_SPOILED", {
    httpStatus: 502,
    notRun: false,
    meaning:
      "The upstream broke off or sent an incomplete or malformed answer.",
  }),
  CALLER_LEFT: defineCode(3009, "CALLER_LEFT", {
    httpStatus: 499,
    notRun: false,
    meaning: "The caller closed its connection before the answer was complete.",
  }),
  FRAME_TOO_LARGE: defineCode(4001, "FRAME_TOO_LARGE", {
    httpStatus: 500,
    notRun: true,
    meaning: "An internal frame is larger than the limit.",
  }),
  FRAME_MALFORMED: defineCode(4002, "FRAME_MALFORMED", {
    httpStatus: 500,
    notRun: true,
    meaning: "An internal frame does not decode to a known message.",
  }),
  HANDSHAKE_REFUSED: defineCode(4003, "HANDSHAKE_REFUSED", {
    httpStatus: 500,
    notRun: true,
    meaning:
      "The peer did not prove the shared key or uses a different version.",
  }),
  NOT_LEADER: defineCode(4004, "NOT_LEADER", {
    httpStatus: 503,
    notRun: true,
    meaning: "This replica does not lead the group.",
  }),
  TIMEOUT: defineCode(4005, "TIMEOUT", {
    httpStatus: 504,
    notRun: false,
    meaning: "A peer did not answer in time.",
  }),
  CONNECTION_LOST: defineCode(4006, "CONNECTION_LOST", {
    httpStatus: 503,
    notRun: false,
    meaning: "The connection to a peer broke before it answered.",
  }),
  NOT_CONNECTED: defineCode(4007, "NOT_CONNECTED", {
    httpStatus: 503,
    notRun: true,
    meaning: "There is no connection to the peer, so nothing was sent.",
  }),
  UNKNOWN_METHOD: defineCode(4008, "UNKNOWN_METHOD", {
    httpStatus: 500,
    notRun: true,
    meaning: "The peer does not serve this internal method.",
  }),
  UNKNOWN_ATTEMPT: defineCode(4009, "UNKNOWN_ATTEMPT", {
    httpStatus: 500,
    notRun: false,
    meaning: "The sidecar does not know this attempt.",
  }),
  LEADERSHIP_LOST: defineCode(4010, "LEADERSHIP_LOST", {
    httpStatus: 503,
    notRun: false,
    meaning: "The replica lost the leadership before it knew the outcome.",
  }),
  INTERNAL: defineCode(5001, "INTERNAL", {
    httpStatus: 500,
    notRun: false,
    meaning: "An internal error of mallowlift; the log has the details.",
  }),
} as const;

/** Name of a result code. */
export type ResultCodeName = keyof typeof RESULT_CODES;

/**
 * Finds a result code by a name received from a peer; unknown names map to
 * INTERNAL.
 *
 * @example
 * ```ts
 * findResultCode("QUEUE_FULL").number; // 2001
 * findResultCode("garbage").name; // "INTERNAL"
 * ```
 */
export function findResultCode(name: string): ResultCode {
  if (!Object.hasOwn(RESULT_CODES, name)) return RESULT_CODES.INTERNAL;
  return RESULT_CODES[name as ResultCodeName];
}
