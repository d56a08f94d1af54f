/**
 * Directory of the other daemons that this daemon knows, with the age of each
 * record. It only finds peers and makes no decisions.
 */

import type {
  DaemonRecord,
  DirectoryComparison,
  DirectoryDifference,
} from "@mallowlift/core";
import {
  computeRecordKey,
  packSummary,
  readSummary,
  type SummaryEntry,
} from "./directory_summary.ts";

/**
 * Age above which a record is dropped, ms. It is far longer than the interval
 * between exchanges, so that a daemon that is unreachable for some seconds stays
 * known.
 */
const MAX_RECORD_AGE_MILLISECONDS = 15_000;

/**
 * Smallest difference for which a more recent age is sent to a peer, ms. It is
 * far below the ages on which decisions depend, and above the rounding errors
 * that a few daemons add up to.
 */
const MIN_AGE_DIFFERENCE_MILLISECONDS = 100;

/** A daemon as it describes itself. */
export type DaemonInfo = Omit<DaemonRecord, "ageMilliseconds">;

interface KnownDaemon {
  readonly record: DaemonInfo;
  readonly key: number;
  /** Time of the last sign of life of the daemon itself, by the local clock. */
  readonly lastSeenAt: number;
}

/** Records of this daemon and of the other known daemons. */
export class Directory {
  readonly #self: DaemonInfo;
  readonly #selfKey: number;
  readonly #daemons = new Map<string, KnownDaemon>();
  /** The same daemons by the keys of their records. */
  readonly #daemonsByKey = new Map<number, KnownDaemon>();
  #changedAt = 0;

  constructor(self: DaemonInfo) {
    this.#self = self;
    this.#selfKey = computeRecordKey(self);
  }

  /** Description of this daemon. */
  get self(): DaemonInfo {
    return this.#self;
  }

  /** Local time at which a daemon was last added, restarted or removed. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** Takes over records that are more recent than the known ones. */
  merge(records: readonly DaemonRecord[], now: number): void {
    for (const { ageMilliseconds, ...record } of records) {
      if (record.name === this.#self.name) continue;
      const lastSeenAt = now - ageMilliseconds;
      if (ageMilliseconds > MAX_RECORD_AGE_MILLISECONDS) continue;
      const known = this.#daemons.get(record.name);
      if (known !== undefined && known.lastSeenAt >= lastSeenAt) continue;
      this.#set(record, lastSeenAt);
      if (known?.record.bootId !== record.bootId) this.#changedAt = now;
    }
  }

  /** Drops daemons whose records have expired. */
  removeExpired(now: number): void {
    for (const [name, known] of this.#daemons) {
      if (now - known.lastSeenAt <= MAX_RECORD_AGE_MILLISECONDS) continue;
      this.#daemons.delete(name);
      this.#daemonsByKey.delete(known.key);
      this.#changedAt = now;
    }
  }

  /** Returns the records of all known daemons with their ages, this daemon first. */
  describe(now: number): readonly DaemonRecord[] {
    const records: DaemonRecord[] = [{ ...this.#self, ageMilliseconds: 0 }];
    for (const { record, lastSeenAt } of this.#daemons.values()) {
      records.push({
        ...record,
        ageMilliseconds: Math.max(0, now - lastSeenAt),
      });
    }
    return records;
  }

  /** Returns the keys and ages of all known records, this daemon's own first. */
  summarize(now: number): DirectoryComparison {
    const entries: SummaryEntry[] = [
      { key: this.#selfKey, ageMilliseconds: 0 },
    ];
    for (const { key, lastSeenAt } of this.#daemons.values()) {
      entries.push({ key, ageMilliseconds: Math.max(0, now - lastSeenAt) });
    }
    return { known: packSummary(entries) };
  }

  /**
   * Compares this directory with the summary of another daemon. Takes over more
   * recent ages, and returns the records and ages that the other daemon lacks,
   * and the keys of the records that are unknown here.
   *
   * @example
   * ```ts
   * const difference = here.compare(there.summarize(now), now);
   * there.merge(difference.records, now);
   * there.refreshAges(difference.fresher, now);
   * ```
   */
  compare(request: DirectoryComparison, now: number): DirectoryDifference {
    const peerKeys = new Set<number>();
    const wanted: SummaryEntry[] = [];
    const fresher: SummaryEntry[] = [];
    for (const entry of readSummary(request.known)) {
      peerKeys.add(entry.key);
      if (entry.key === this.#selfKey) continue;
      const known = this.#daemonsByKey.get(entry.key);
      const age = known === undefined ? Infinity : now - known.lastSeenAt;
      if (known === undefined) wanted.push(entry);
      else if (entry.ageMilliseconds - age >= MIN_AGE_DIFFERENCE_MILLISECONDS) {
        fresher.push({ key: known.key, ageMilliseconds: Math.max(0, age) });
      }
    }
    const records = this.describe(now).filter((record) =>
      !peerKeys.has(this.#getKey(record.name))
    );
    this.refreshAges(request.known, now);
    return {
      records,
      fresher: packSummary(fresher),
      wanted: packSummary(wanted),
    };
  }

  /** Takes over more recent ages from a summary, for records that are known here. */
  refreshAges(summary: Uint8Array, now: number): void {
    for (const { key, ageMilliseconds } of readSummary(summary)) {
      const known = this.#daemonsByKey.get(key);
      if (
        known === undefined || ageMilliseconds > MAX_RECORD_AGE_MILLISECONDS
      ) {
        continue;
      }
      const lastSeenAt = now - ageMilliseconds;
      if (lastSeenAt > known.lastSeenAt) this.#set(known.record, lastSeenAt);
    }
  }

  /** Returns the known records whose keys are in a summary, with their ages. */
  describeRequested(summary: Uint8Array, now: number): readonly DaemonRecord[] {
    const keys = new Set(readSummary(summary).map((entry) => entry.key));
    return this.describe(now).filter((record) =>
      keys.has(this.#getKey(record.name))
    );
  }

  /** Returns the daemons with a role that were seen at or after a time, sorted by name. */
  findByRole(role: string, since = -Infinity): readonly DaemonInfo[] {
    const found: DaemonInfo[] = [];
    if (this.#self.roles.includes(role)) found.push(this.#self);
    for (const { record, lastSeenAt } of this.#daemons.values()) {
      if (lastSeenAt < since || !record.roles.includes(role)) continue;
      found.push(record);
    }
    return found.sort((left, right) => left.name < right.name ? -1 : 1);
  }

  /** Returns a known daemon by its name. */
  find(name: string): DaemonInfo | undefined {
    if (name === this.#self.name) return this.#self;
    return this.#daemons.get(name)?.record;
  }

  /** Returns the addresses of all other known daemons. */
  listPeers(): readonly string[] {
    return [...this.#daemons.values()].map(({ record }) => record.address);
  }

  #getKey(name: string): number {
    return this.#daemons.get(name)?.key ?? this.#selfKey;
  }

  #set(record: DaemonInfo, lastSeenAt: number): void {
    const before = this.#daemons.get(record.name);
    const isSame = before !== undefined && before.record === record;
    if (before !== undefined) this.#daemonsByKey.delete(before.key);
    const key = isSame ? before.key : computeRecordKey(record);
    const known = { record, key, lastSeenAt };
    this.#daemons.set(record.name, known);
    this.#daemonsByKey.set(key, known);
  }
}
