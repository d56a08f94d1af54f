/** Grants of the right to found the site, issued by a seed. */

import type { FoundingClaim, FoundingGrant } from "@mallowlift/core";
import type { Directory } from "./directory.ts";

/**
 * Time for which a grant holds even if its holder is not in the directory, ms. It
 * is far longer than a running daemon needs to appear there.
 */
const GRACE_PERIOD_MILLISECONDS = 60_000;

/**
 * Grants the right to one store for as long as that store is in the directory.
 * It grants only during the first start of the site: a seed that has restarted
 * does not remember the holder of its earlier grant.
 */
export class FounderGrants {
  readonly #directory: Directory;
  readonly #isFirstStart: boolean;
  #holder: FoundingClaim | undefined;
  #grantedAt = -Infinity;

  constructor(directory: Directory, isFirstStart: boolean) {
    this.#directory = directory;
    this.#isFirstStart = isFirstStart;
  }

  /** Grants, refuses or takes back the right for the daemon of a claim. */
  claim(request: FoundingClaim, now: number): FoundingGrant {
    if (!this.#isFirstStart) return { granted: false };
    const holder = this.#holder;
    // A holder that claims right after its start may not be in the directory yet.
    const isWithinGracePeriod =
      now - this.#grantedAt < GRACE_PERIOD_MILLISECONDS;
    const isHeld = holder !== undefined && holder.name !== request.name &&
      (isWithinGracePeriod || this.#directory.find(holder.name) !== undefined);
    if (isHeld) return { granted: false };
    if (request.isReturned === true) {
      this.#holder = undefined;
      return { granted: false };
    }
    this.#holder = request;
    this.#grantedAt = now;
    return { granted: true };
  }
}
