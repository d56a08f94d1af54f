/** Checks that run before an operator's request is served. */

import type { Request } from "@hapi/hapi";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";
import { authenticateOperator } from "../http/authentication.ts";

/** Checks that this entry is not draining and authenticates the operator. */
export function checkOperator(
  context: EntryContext,
  request: Request,
): Outcome<void> {
  if (context.isDraining()) {
    return fail(RESULT_CODES.DRAINING, "This entry is draining", 100);
  }
  return authenticateOperator(request, context.operatorTokenSha256);
}
