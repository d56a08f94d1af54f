/** What a daemon has heard of the others. It finds peers; it decides nothing. */

import type {
  DaemonRecord,
  DirectoryComparison,
  DirectoryDifference,
} from "@mallowlift/core";
import {
  findKey,
  packSummary,
  readSummary,
  type SummaryEntry,
} from "./directory_summary.ts";

/**
 * Age at which a record is dropped, ms. Far above the time between exchanges,
 * so that a daemon that is cut off for some seconds is still known after it.
 */
const FORGET_MILLISECONDS = 15_000;

/**
 * How much younger a word must be to be passed on, ms: far below the ages that
 * anything is decided by, and above what a few daemons add by rounding.
 */
const FRESHER_MILLISECONDS = 100;

/** A daemon as it tells of itself. */
export type SelfRecord = Omit<DaemonRecord, "ageMilliseconds">;

interface KnownDaemon {
  readonly record: SelfRecord;
  readonly key: number;
  /** When the daemon itself was last heard, by the local clock. */
  readonly heardAt: number;
}

/** The daemons that are known. */
export class Directory {
  readonly #self: SelfRecord;
  readonly #selfKey: number;
  readonly #known = new Map<string, KnownDaemon>();
  /** The same daemons by the key of their record. */
  readonly #byKey = new Map<number, KnownDaemon>();
  #changedAt = 0;

  constructor(self: SelfRecord) {
    this.#self = self;
    this.#selfKey = findKey(self);
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
      this.#set(record, heardAt);
      if (known?.record.bootId !== record.bootId) this.#changedAt = now;
    }
  }

  /** Drops daemons that nobody has heard for long. */
  forget(now: number): void {
    for (const [name, known] of this.#known) {
      if (now - known.heardAt <= FORGET_MILLISECONDS) continue;
      this.#known.delete(name);
      this.#byKey.delete(known.key);
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

  /** Which records are known, this daemon's own first, and how old each word is. */
  summarize(now: number): DirectoryComparison {
    const entries: SummaryEntry[] = [
      { key: this.#selfKey, ageMilliseconds: 0 },
    ];
    for (const { key, heardAt } of this.#known.values()) {
      entries.push({ key, ageMilliseconds: Math.max(0, now - heardAt) });
    }
    return { known: packSummary(entries) };
  }

  /**
   * Takes over what another daemon has heard later, and tells what it lacks.
   *
   * @example
   * ```ts
   * const difference = here.compare(there.summarize(now), now);
   * there.merge(difference.records, now);
   * there.refresh(difference.fresher, now);
   * ```
   */
  compare(request: DirectoryComparison, now: number): DirectoryDifference {
    const told = new Set<number>();
    const wanted: SummaryEntry[] = [];
    const fresher: SummaryEntry[] = [];
    for (const entry of readSummary(request.known)) {
      told.add(entry.key);
      if (entry.key === this.#selfKey) continue;
      const known = this.#byKey.get(entry.key);
      const age = known === undefined ? Infinity : now - known.heardAt;
      if (known === undefined) wanted.push(entry);
      else if (entry.ageMilliseconds - age >= FRESHER_MILLISECONDS) {
        fresher.push({ key: known.key, ageMilliseconds: Math.max(0, age) });
      }
    }
    const records = this.describe(now).filter((record) =>
      !told.has(this.#findKeyOf(record.name))
    );
    this.refresh(request.known, now);
    return {
      records,
      fresher: packSummary(fresher),
      wanted: packSummary(wanted),
    };
  }

  /** Takes over how lately daemons were heard whose records are known. */
  refresh(summary: Uint8Array, now: number): void {
    for (const { key, ageMilliseconds } of readSummary(summary)) {
      const known = this.#byKey.get(key);
      if (known === undefined || ageMilliseconds > FORGET_MILLISECONDS) {
        continue;
      }
      const heardAt = now - ageMilliseconds;
      if (heardAt > known.heardAt) this.#set(known.record, heardAt);
    }
  }

  /** Those of a summary whose records are known, with their ages. */
  describeWanted(summary: Uint8Array, now: number): readonly DaemonRecord[] {
    const keys = new Set(readSummary(summary).map((entry) => entry.key));
    return this.describe(now).filter((record) =>
      keys.has(this.#findKeyOf(record.name))
    );
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

  #findKeyOf(name: string): number {
    return this.#known.get(name)?.key ?? this.#selfKey;
  }

  #set(record: SelfRecord, heardAt: number): void {
    const before = this.#known.get(record.name);
    const isSame = before !== undefined && before.record === record;
    if (before !== undefined) this.#byKey.delete(before.key);
    const key = isSame ? before.key : findKey(record);
    const known = { record, key, heardAt };
    this.#known.set(record.name, known);
    this.#byKey.set(key, known);
  }
}
