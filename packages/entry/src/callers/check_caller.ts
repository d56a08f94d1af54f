/** Checks that run before a caller's request is served. */

import type { Request } from "@hapi/hapi";
import type { Outfit } from "@mallowlift/configuration";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type Joi from "joi";
import { Ok } from "ts-results";
import type { EntryContext } from "../entry_context.ts";
import { authenticateOutfit } from "../http/authentication.ts";
import { checkBody } from "../http/check_body.ts";

const PROGRAM_ID_PATTERN = /^p[0-9a-f]{24}(-[0-9a-f]{24})?$/;

/** A caller's request that has passed all checks. */
export interface CheckedRequest<T> {
  readonly outfit: Outfit;
  readonly programId: string;
  readonly body: T;
}

/**
 * Checks that this entry accepts new work.
 *
 * @returns DRAINING, or CONFIGURATION_STALE if the configuration was not
 * confirmed recently
 */
export function checkAcceptsWork(context: EntryContext): Outcome<void> {
  if (context.isDraining()) {
    return fail(RESULT_CODES.DRAINING, "This entry is draining", 100);
  }
  if (context.isFresh()) return Ok(undefined);
  return fail(
    RESULT_CODES.CONFIGURATION_STALE,
    "The configuration of this entry is stale",
    1_000,
  );
}

/** Authenticates the caller and checks the program id in the path. */
export function checkCaller(
  context: EntryContext,
  request: Request,
): Outcome<CheckedRequest<undefined>> {
  const ready = checkAcceptsWork(context);
  if (ready.err) return ready;
  const outfit = authenticateOutfit(request, context.follower.view);
  if (outfit.err) return outfit;
  const programId = readProgramId(request);
  if (programId.err) return programId;
  return Ok({ outfit: outfit.val, programId: programId.val, body: undefined });
}

/** Authenticates the caller and checks the program id and the body. */
export function checkCallerBody<T extends object>(
  context: EntryContext,
  request: Request,
  schema: Joi.ObjectSchema<T>,
): Outcome<CheckedRequest<T>> {
  const caller = checkCaller(context, request);
  if (caller.err) return caller;
  const body = checkBody(schema, request.payload);
  if (body.err) return body;
  return Ok({ ...caller.val, body: body.val });
}

/**
 * Reads the program id from the path of a request.
 *
 * @returns PROGRAM_NOT_FOUND if the id is malformed
 */
export function readProgramId(request: Request): Outcome<string> {
  const programId = String(request.params.program);
  if (PROGRAM_ID_PATTERN.test(programId)) return Ok(programId);
  return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "The program does not exist");
}
