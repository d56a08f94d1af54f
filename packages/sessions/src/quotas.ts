/** Counts the recent permits of each workspace in a sliding window. */

import type { QuotaCharge, QuotaGrant, QuotaLimit } from "@mallowlift/core";

/** Length of the slots of a window, ms of site time. */
const SLOT_MILLISECONDS = 50;
/** Fraction of a bound above which permits are granted only to waiting requests. */
const MAX_PREFETCH_FRACTION = 0.75;
/**
 * Time after its last request for which a workspace is kept, ms: until then an
 * older version of its bound must not replace a newer one.
 */
const IDLE_RETENTION_MILLISECONDS = 600_000;

/** The window of a workspace as it is stored in a snapshot. */
export interface StoredQuota {
  readonly bound: QuotaLimit;
  /** Pairs of a slot number and its permits, oldest first. */
  readonly slots: readonly (readonly [number, number])[];
  readonly usedAt: number;
}

/** The permits of one workspace within its span. */
interface Ledger {
  bound: QuotaLimit;
  slots: [number, number][];
  used: number;
  usedAt: number;
}

/**
 * Counts permits by site time, which never runs faster than a real clock.
 * Therefore at most as many permits as the bound allows are granted in any span
 * of real time, across all changes of leaders.
 *
 * @example
 * ```ts
 * const quotas = new Quotas();
 * const bound = { workspace: "north", version: 1, most: 2, spanMilliseconds: 1_000 };
 * quotas.charge({ ...bound, needed: 3, spare: 0 }, 0).granted; // 2
 * ```
 */
export class Quotas {
  readonly #ledgers = new Map<string, Ledger>();

  /** Number of workspaces with a ledger. */
  get size(): number {
    return this.#ledgers.size;
  }

  /** Grants as many of the requested permits as the bound allows. */
  charge(charge: QuotaCharge, at: number): QuotaGrant {
    const { needed, spare, ...bound } = charge;
    const ledger = this.#find(bound, at);
    const { most } = ledger.bound;
    const grantedNeeded = Math.max(0, Math.min(needed, most - ledger.used));
    const prefetchLimit = Math.floor(most * MAX_PREFETCH_FRACTION) -
      ledger.used - grantedNeeded;
    const granted = grantedNeeded + Math.max(0, Math.min(spare, prefetchLimit));
    addToSlot(ledger, granted, at);
    return {
      granted,
      retryAfterMilliseconds: grantedNeeded < needed
        ? findRetryAfter(ledger, at)
        : 0,
    };
  }

  /** Returns the time until a permit is available, ms; 0 if one is available now. */
  findWait(bound: QuotaLimit, at: number): number {
    const ledger = this.#find(bound, at);
    return ledger.used < ledger.bound.most ? 0 : findRetryAfter(ledger, at);
  }

  /**
   * Returns how many of the permits granted so far count at a time that is now or
   * later, without any change to the replicated state.
   */
  countUsed(workspace: string, at: number): number {
    const ledger = this.#ledgers.get(workspace);
    if (ledger === undefined) return 0;
    const since = at - ledger.bound.spanMilliseconds;
    let { used } = ledger;
    for (const [slot, count] of ledger.slots) {
      if (findSlotEnd(slot) > since) break;
      used -= count;
    }
    return used;
  }

  /** Drops workspaces that have been idle for {@linkcode IDLE_RETENTION_MILLISECONDS}. */
  sweep(at: number): void {
    for (const [workspace, ledger] of this.#ledgers) {
      if (at - ledger.usedAt > IDLE_RETENTION_MILLISECONDS) {
        this.#ledgers.delete(workspace);
      }
    }
  }

  /** Returns all ledgers for a snapshot. */
  store(): readonly StoredQuota[] {
    return [...this.#ledgers.values()].map(({ bound, slots, usedAt }) => ({
      bound,
      slots: slots.map(([slot, count]) => [slot, count] as const),
      usedAt,
    }));
  }

  /** Replaces all ledgers by the result of {@linkcode Quotas.store}. */
  restore(stored: readonly StoredQuota[]): void {
    this.#ledgers.clear();
    for (const { bound, slots, usedAt } of stored) {
      this.#ledgers.set(bound.workspace, {
        bound,
        slots: slots.map(([slot, count]) => [slot, count]),
        used: slots.reduce((sum, [, count]) => sum + count, 0),
        usedAt,
      });
    }
  }

  /** Returns the ledger of a workspace after dropping slots older than its span. */
  #find(bound: QuotaLimit, at: number): Ledger {
    const known = this.#ledgers.get(bound.workspace);
    if (known === undefined) {
      const ledger: Ledger = { bound, slots: [], used: 0, usedAt: at };
      this.#ledgers.set(bound.workspace, ledger);
      return ledger;
    }
    if (bound.version >= known.bound.version) known.bound = bound;
    known.usedAt = Math.max(known.usedAt, at);
    dropOldSlots(known, at);
    return known;
  }
}

function dropOldSlots(ledger: Ledger, at: number): void {
  const since = at - ledger.bound.spanMilliseconds;
  while (true) {
    const [oldest] = ledger.slots;
    if (oldest === undefined || findSlotEnd(oldest[0]) > since) return;
    ledger.used -= oldest[1];
    ledger.slots.shift();
  }
}

function addToSlot(ledger: Ledger, count: number, at: number): void {
  if (count === 0) return;
  const last = ledger.slots.at(-1);
  // Commands that are proposed concurrently may be applied out of time order.
  const slot = Math.max(Math.floor(at / SLOT_MILLISECONDS), last?.[0] ?? 0);
  if (last?.[0] === slot) last[1] += count;
  else ledger.slots.push([slot, count]);
  ledger.used += count;
}

/** Returns the time until enough slots expire for one more permit, ms. */
function findRetryAfter(ledger: Ledger, at: number): number {
  const { most, spanMilliseconds } = ledger.bound;
  let remaining = ledger.used;
  for (const [slot, count] of ledger.slots) {
    remaining -= count;
    if (remaining < most) return findSlotEnd(slot) + spanMilliseconds - at;
  }
  return spanMilliseconds;
}

function findSlotEnd(slot: number): number {
  return (slot + 1) * SLOT_MILLISECONDS;
}
