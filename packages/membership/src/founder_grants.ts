/** The right to found the site, as a seed grants it. */

import type { FoundingClaim, FoundingGrant } from "@mallowlift/core";
import type { Directory } from "./directory.ts";

/**
 * Grants the right to one store for as long as that store is known, and only
 * while the site starts for the first time: a seed that has started again does
 * not remember whom it granted the right.
 */
export class FounderGrants {
  readonly #directory: Directory;
  readonly #isFirstStart: boolean;
  #holder: FoundingClaim | undefined;

  constructor(directory: Directory, isFirstStart: boolean) {
    this.#directory = directory;
    this.#isFirstStart = isFirstStart;
  }

  /** Answers a claim. */
  claim(request: FoundingClaim): FoundingGrant {
    if (!this.#isFirstStart) return { granted: false };
    const holder = this.#holder;
    const isHeld = holder !== undefined && holder.name !== request.name &&
      this.#directory.find(holder.name) !== undefined;
    if (isHeld) return { granted: false };
    if (request.isReturned === true) {
      this.#holder = undefined;
      return { granted: false };
    }
    this.#holder = request;
    return { granted: true };
  }
}
