/** What a daemon has heard of the others. It finds peers; it decides nothing. */

import type { DaemonRecord } from "@mallowlift/core";

/**
 * Age at which a record is dropped, ms. Far above the time between exchanges,
 * so that a daemon that is cut off for some seconds is still known after it.
 */
const FORGET_MILLISECONDS = 15_000;

/** A daemon as it tells of itself. */
export type SelfRecord = Omit<DaemonRecord, "ageMilliseconds">;

interface KnownDaemon {
  readonly record: SelfRecord;
  /** When the daemon itself was last heard, by the local clock. */
  readonly heardAt: number;
}

/** The daemons that are known. */
export class Directory {
  readonly #self: SelfRecord;
  readonly #known = new Map<string, KnownDaemon>();
  #changedAt = 0;

  constructor(self: SelfRecord) {
    this.#self = self;
  }

  /** This daemon. */
  get self(): SelfRecord {
    return this.#self;
  }

  /** When a daemon was last added or replaced. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** Takes over what is newer than what is known. */
  merge(records: readonly DaemonRecord[], now: number): void {
    for (const { ageMilliseconds, ...record } of records) {
      if (record.name === this.#self.name) continue;
      const heardAt = now - ageMilliseconds;
      if (ageMilliseconds > FORGET_MILLISECONDS) continue;
      const known = this.#known.get(record.name);
      if (known !== undefined && known.heardAt >= heardAt) continue;
      this.#known.set(record.name, { record, heardAt });
      if (known?.record.bootId !== record.bootId) this.#changedAt = now;
    }
  }

  /** Drops daemons that nobody has heard for long. */
  forget(now: number): void {
    for (const [name, known] of this.#known) {
      if (now - known.heardAt <= FORGET_MILLISECONDS) continue;
      this.#known.delete(name);
      this.#changedAt = now;
    }
  }

  /** All known daemons with their ages, this one first. */
  describe(now: number): readonly DaemonRecord[] {
    const records: DaemonRecord[] = [{ ...this.#self, ageMilliseconds: 0 }];
    for (const { record, heardAt } of this.#known.values()) {
      records.push({ ...record, ageMilliseconds: Math.max(0, now - heardAt) });
    }
    return records;
  }

  /** Daemons with a role that were heard within a time, by name. */
  findByRole(role: string, since = -Infinity): readonly SelfRecord[] {
    const found: SelfRecord[] = [];
    if (this.#self.roles.includes(role)) found.push(this.#self);
    for (const { record, heardAt } of this.#known.values()) {
      if (heardAt < since || !record.roles.includes(role)) continue;
      found.push(record);
    }
    return found.sort((left, right) => left.name < right.name ? -1 : 1);
  }

  /** A known daemon by its name. */
  find(name: string): SelfRecord | undefined {
    if (name === this.#self.name) return this.#self;
    return this.#known.get(name)?.record;
  }

  /** Addresses of all other daemons. */
  listPeers(): readonly string[] {
    return [...this.#known.values()].map(({ record }) => record.address);
  }
}
