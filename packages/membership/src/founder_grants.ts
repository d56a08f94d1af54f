/** The right to found the site, as a seed grants it. */

import type { FoundingClaim, FoundingGrant } from "@mallowlift/core";
import type { Directory } from "./directory.ts";

/**
 * Time in which a grant stands although its holder is not known, ms: far above
 * the time in which a daemon that runs is heard.
 */
const RECENT_MILLISECONDS = 60_000;

/**
 * Grants the right to one store for as long as that store is known, and only
 * while the site starts for the first time: a seed that has started again does
 * not remember whom it granted the right.
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

  /** Answers a claim. */
  claim(request: FoundingClaim, now: number): FoundingGrant {
    if (!this.#isFirstStart) return { granted: false };
    const holder = this.#holder;
    // A holder that claims as soon as it starts may not be in the directory yet.
    const isRecent = now - this.#grantedAt < RECENT_MILLISECONDS;
    const isHeld = holder !== undefined && holder.name !== request.name &&
      (isRecent || this.#directory.find(holder.name) !== undefined);
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
