/**
 * Admits new programs of a workspace while its quota covers the requests that its
 * programs will still send.
 *
 * Each request of a program is charged to the quota, and a program that is refused
 * midway has used its requests for nothing. A workspace that sends several times
 * its quota would complete almost no program if its requests were refused in order
 * of arrival.
 */

import { type ProgramSize, ProgramSizes } from "./program_size.ts";

/** Time without a turn after which a program counts as ended, ms: longer than tools take. */
const IDLE_MILLISECONDS = 1_500;
/** Part of a quota in use below which all programs are admitted. */
const MIN_USED_PART = 0.3;
/** Part of a quota in use from which requests may be refused for it. */
const FULL_PART = 0.9;
/**
 * Time after a full window for which programs of the workspace tell nothing about the
 * size of programs, ms: those that were refused midway are shorter.
 */
const REFUSED_MILLISECONDS = 10_000;
/**
 * Times for which the requests of open programs must fit, as parts of the window: short
 * programs send all of theirs before much of what is charged now has left it.
 */
const HORIZON_PARTS = [0.1, 0.25, 0.5, 0.75, 1];
/** Time constant of the averages of turns and charged requests, ms. */
const AVERAGE_MILLISECONDS = 5_000;
/** Bounds of the time after which a refused program should return, ms. */
const RETRY_MILLISECONDS = { min: 100, max: 2_000 };

/** The quota of a workspace and its use in the current window. */
export interface QuotaUse {
  /** Requests that the window allows. */
  readonly most: number;
  /** Counts the requests charged so far that still count after a time, ms. */
  readonly countUsed: (afterMilliseconds: number) => number;
  /** Length of the window, ms. */
  readonly spanMilliseconds: number;
}

/** A turn of a program and the workspace that it is charged to. */
export interface ChargedTurn {
  readonly workspace: string;
  readonly programId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
}

interface OpenProgram {
  readonly priority: number;
  readonly startedAt: number;
  turns: number;
  lastAt: number;
}

interface WorkspaceUse {
  readonly programs: Map<string, OpenProgram>;
  /** Turns and charged requests, decayed exponentially by their age. */
  turns: number;
  charged: number;
  at: number;
  /** When its quota was last nearly used up, ms. */
  fullAt: number;
}

/**
 * Tracks the open programs of workspaces with a quota.
 *
 * @example
 * ```ts
 * const programs = new WorkspacePrograms();
 * const turn = { workspace: "north", programId: "p1", priority: 0 };
 * const quota = { most: 100, countUsed: () => 95, spanMilliseconds: 5_000 };
 * programs.findWait(turn, quota, now); // 0 until the size of programs is known
 * programs.recordTurn(turn, now);
 * ```
 */
export class WorkspacePrograms {
  readonly #sizes = new ProgramSizes();
  readonly #workspaces = new Map<string, WorkspaceUse>();

  /**
   * Returns the time after which a new program may start, ms; 0 if it may start
   * now.
   */
  findWait(start: ChargedTurn, quota: QuotaUse, now: number): number {
    const { most, spanMilliseconds } = quota;
    const used = quota.countUsed(0);
    if (used < MIN_USED_PART * most) return 0;
    const use = this.#find(start.workspace, now);
    if (used >= FULL_PART * most) use.fullAt = now;
    this.#dropEnded(use, now);
    const size = this.#sizes.find(start.priority);
    if (size === undefined) return 0;
    if (use.programs.has(start.programId)) return 0;
    const open = [{ turns: size.turns, milliseconds: size.milliseconds }];
    for (const program of use.programs.values()) {
      const mean = this.#sizes.find(program.priority) ?? size;
      const turns = Math.max(1, mean.turns - program.turns);
      const { milliseconds } = mean;
      open.push({ turns, milliseconds: milliseconds * turns / mean.turns });
    }
    const requestsPerTurn = use.turns < 1
      ? 1
      : Math.max(1, use.charged / use.turns);
    let missing = 0;
    for (const part of HORIZON_PARTS) {
      const horizon = part * spanMilliseconds;
      const turns = countTurnsWithin(open, horizon);
      const free = most - quota.countUsed(horizon);
      const excess = turns * requestsPerTurn - free;
      missing = Math.max(missing, excess);
    }
    // A workspace whose quota is smaller than one program may still run one.
    if (missing === 0 || use.programs.size === 0) return 0;
    const { min, max } = RETRY_MILLISECONDS;
    const wait = missing * spanMilliseconds / most;
    return Math.round(Math.min(max, Math.max(min, wait)));
  }

  /** Records a turn that was charged. */
  recordTurn(turn: ChargedTurn, now: number): void {
    const use = this.#find(turn.workspace, now);
    use.turns++;
    use.charged++;
    const { programId, priority } = turn;
    const known = use.programs.get(programId);
    if (known === undefined) {
      this.#dropEnded(use, now);
      const program = { priority, startedAt: now, turns: 1, lastAt: now };
      use.programs.set(programId, program);
      return;
    }
    known.turns++;
    known.lastAt = now;
  }

  /** Records requests of a workspace that were charged besides turns. */
  recordCharged(workspace: string, requests: number, now: number): void {
    if (requests > 0) this.#find(workspace, now).charged += requests;
  }

  #find(workspace: string, now: number): WorkspaceUse {
    const known = this.#workspaces.get(workspace);
    if (known === undefined) {
      const use = {
        programs: new Map(),
        turns: 0,
        charged: 0,
        at: now,
        fullAt: -Infinity,
      };
      this.#workspaces.set(workspace, use);
      return use;
    }
    const part = Math.exp((known.at - now) / AVERAGE_MILLISECONDS);
    known.turns *= part;
    known.charged *= part;
    known.at = now;
    return known;
  }

  #dropEnded(use: WorkspaceUse, now: number): void {
    for (const [programId, program] of use.programs) {
      const { priority, startedAt, turns, lastAt } = program;
      if (now - lastAt < IDLE_MILLISECONDS) continue;
      use.programs.delete(programId);
      if (now - use.fullAt < REFUSED_MILLISECONDS) continue;
      this.#sizes.record(priority, { turns, milliseconds: lastAt - startedAt });
    }
  }
}

/** Returns how many of the turns that programs still run fall within a time, ms. */
function countTurnsWithin(
  programs: readonly ProgramSize[],
  milliseconds: number,
): number {
  let count = 0;
  for (const { turns, milliseconds: left } of programs) {
    count += turns * Math.min(1, milliseconds / Math.max(1, left));
  }
  return count;
}
