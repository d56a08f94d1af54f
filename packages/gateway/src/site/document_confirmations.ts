/**
 * Tracks when the routing document in force was last confirmed to be the
 * newest.
 */

interface Confirmation {
  readonly version: number;
  readonly confirmedAt: number;
}

/**
 * Records confirmations by leaders. A confirmation is for one version and
 * counts once that version, or a newer one, is in force.
 *
 * @example
 * ```ts
 * const confirmations = new DocumentConfirmations();
 * confirmations.record(3, 1_000);
 * confirmations.findAge(2, 1_400); // Infinity: version 3 is not in force yet
 * confirmations.findAge(3, 1_400); // 400
 * ```
 */
export class DocumentConfirmations {
  #confirmedAt = -Infinity;
  /** Confirmations of versions that are not in force yet. */
  #pending: readonly Confirmation[] = [];

  /** Records that a version was the newest at a time of the local clock, ms. */
  record(version: number, confirmedAt: number): void {
    const others = this.#pending.filter((pending) =>
      pending.version !== version || pending.confirmedAt > confirmedAt
    );
    this.#pending = [...others, { version, confirmedAt }];
  }

  /**
   * Time since the version in force, or an older one, was last confirmed to be
   * the newest, ms; Infinity if none was.
   */
  findAge(versionInForce: number, now: number): number {
    for (const { version, confirmedAt } of this.#pending) {
      if (version > versionInForce) continue;
      this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }
    this.#pending = this.#pending.filter(({ version }) =>
      version > versionInForce
    );
    return now - this.#confirmedAt;
  }
}
