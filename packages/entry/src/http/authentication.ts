/** Authenticates callers and operators by their bearer token. */

import type { Request } from "@hapi/hapi";
import type { ConfigurationView, Outfit } from "@mallowlift/configuration";
import {
  equalsInConstantTime,
  fail,
  hashText,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";

const BEARER = "Bearer ";

/**
 * Returns the outfit that the bearer token of a request belongs to.
 *
 * @returns NOT_AUTHENTICATED if the token is missing or unknown
 */
export function authenticateOutfit(
  request: Request,
  view: ConfigurationView,
): Outcome<Outfit> {
  const outfit = view.findOutfit(readToken(request));
  if (outfit !== undefined) return Ok(outfit);
  return fail(
    RESULT_CODES.NOT_AUTHENTICATED,
    "The bearer token is missing or unknown",
  );
}

/**
 * Checks that a request carries the operator token.
 *
 * @returns NOT_AUTHENTICATED if the token is missing or wrong
 */
export function authenticateOperator(
  request: Request,
  tokenSha256: string,
): Outcome<void> {
  const digest = hashText(readToken(request));
  if (equalsInConstantTime(digest, tokenSha256)) return Ok(undefined);
  return fail(
    RESULT_CODES.NOT_AUTHENTICATED,
    "The operator token is missing or unknown",
  );
}

function readToken(request: Request): string {
  const header = request.headers.authorization;
  if (typeof header !== "string" || !header.startsWith(BEARER)) return "";
  return header.slice(BEARER.length);
}
