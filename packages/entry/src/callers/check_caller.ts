/** Checks that stand before every caller's request. */

import type { Request } from "@hapi/hapi";
import type { Outfit } from "@mallowlift/configuration";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type Joi from "joi";
import { Ok } from "ts-results";
import type { EntryParts } from "../entry_parts.ts";
import { authenticateOutfit } from "../http/authentication.ts";
import { checkBody } from "../http/check_body.ts";

const PROGRAM_ID_PATTERN = /^p[0-9a-f]{24}(-[0-9a-f]{24})?$/;

/** A checked request of an outfit. */
export interface CallerRequest<T> {
  readonly outfit: Outfit;
  readonly programId: string;
  readonly body: T;
}

/** Checks that this entry may take new work. */
export function checkReady(parts: EntryParts): Outcome<void> {
  if (parts.isDraining()) {
    return fail(RESULT_CODES.DRAINING, "This entry is leaving", 100);
  }
  if (parts.isFresh()) return Ok(undefined);
  return fail(
    RESULT_CODES.CONFIGURATION_STALE,
    "This entry cannot confirm its configuration",
    1_000,
  );
}

/** Checks who asks, and for which program. */
export function checkCaller(
  parts: EntryParts,
  request: Request,
): Outcome<CallerRequest<undefined>> {
  const ready = checkReady(parts);
  if (ready.err) return ready;
  const outfit = authenticateOutfit(request, parts.follower.view);
  if (outfit.err) return outfit;
  const programId = readProgramId(request);
  if (programId.err) return programId;
  return Ok({ outfit: outfit.val, programId: programId.val, body: undefined });
}

/** Checks who asks, for which program, and what. */
export function checkCallerBody<T extends object>(
  parts: EntryParts,
  request: Request,
  schema: Joi.ObjectSchema<T>,
): Outcome<CallerRequest<T>> {
  const caller = checkCaller(parts, request);
  if (caller.err) return caller;
  const body = checkBody(schema, request.payload);
  if (body.err) return body;
  return Ok({ ...caller.val, body: body.val });
}

/** Reads the program id of a path. */
export function readProgramId(request: Request): Outcome<string> {
  const programId = String(request.params.program);
  if (PROGRAM_ID_PATTERN.test(programId)) return Ok(programId);
  return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "There is no such program");
}
