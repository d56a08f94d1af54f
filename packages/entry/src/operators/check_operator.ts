/** Checks that stand before every operator's request. */

import type { Request } from "@hapi/hapi";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";
import { authenticateOperator } from "../http/authentication.ts";

/** Checks that this entry is not leaving, and who asks. */
export function checkOperator(
  parts: EntryParts,
  request: Request,
): Outcome<void> {
  if (parts.isDraining()) {
    return fail(RESULT_CODES.DRAINING, "This entry is leaving", 100);
  }
  return authenticateOperator(request, parts.operatorTokenSha256);
}
