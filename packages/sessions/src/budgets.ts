/** Token budgets of programs that nobody creates. */

import type { TurnReserve } from "@mallowlift/core";

/**
 * Time without a turn after which the budget of a program is forgotten, ms.
 * A stopped program must not come back with a fresh budget while any of its
 * turns may still be kept; ten minutes is far above usual retentions.
 */
const FORGET_MILLISECONDS = 600_000;

interface ProgramBudget {
  spent: number;
  /** Most tokens of each turn that has not been settled. */
  readonly reserved: Map<string, number>;
  /** Turns that were settled, so that a late duplicate reserves nothing. */
  readonly settled: Set<string>;
  usedAt: number;
}

/** What a program has used of its budget, in tokens. */
export interface BudgetUse {
  readonly spent: number;
  /** Most that turns may yet generate that have not been settled. */
  readonly reserved: number;
  readonly openTurns: number;
}

/** A program's budget in the form of a snapshot. */
export interface StoredBudget {
  readonly programId: string;
  readonly spent: number;
  readonly reserved: readonly (readonly [string, number])[];
  readonly settled: readonly string[];
  readonly usedAt: number;
}

/** What every program has spent and reserved. */
export class Budgets {
  readonly #programs = new Map<string, ProgramBudget>();

  /** Number of programs that are known. */
  get size(): number {
    return this.#programs.size;
  }

  /**
   * Reserves the most that a turn may generate. A turn is refused only when
   * nothing is left: what is settled and reserved never passes the budget by
   * more than one turn.
   *
   * @returns false if the budget holds no further turn
   */
  reserve(turn: TurnReserve, at: number): boolean {
    const program = this.#get(turn.programId, at);
    if (program.settled.has(turn.turnId)) return true;
    if (program.reserved.has(turn.turnId)) return true;
    const limited = turn.tokenBudget >= 0;
    if (limited && sumUse(program) >= turn.tokenBudget) return false;
    program.reserved.set(turn.turnId, turn.mostTokens);
    return true;
  }

  /** Replaces the reserve of a turn by what it generated. */
  settle(
    turn: { readonly programId: string; readonly turnId: string },
    tokens: number,
    at: number,
  ): void {
    const program = this.#get(turn.programId, at);
    if (program.settled.has(turn.turnId)) return;
    program.reserved.delete(turn.turnId);
    program.settled.add(turn.turnId);
    program.spent += tokens;
  }

  /** True if a program has begun a turn. */
  has(programId: string): boolean {
    return this.#programs.has(programId);
  }

  /** True if a turn has its reserve, or had it. */
  hasReserved(programId: string, turnId: string): boolean {
    const program = this.#programs.get(programId);
    return program !== undefined &&
      (program.reserved.has(turnId) || program.settled.has(turnId));
  }

  /** True if the reserve of a turn was settled. */
  hasSettled(programId: string, turnId: string): boolean {
    return this.#programs.get(programId)?.settled.has(turnId) === true;
  }

  /** What a program has used; nothing if it is not known. */
  describe(programId: string): BudgetUse {
    const program = this.#programs.get(programId);
    if (program === undefined) return { spent: 0, reserved: 0, openTurns: 0 };
    const { spent, reserved } = program;
    return {
      spent,
      reserved: sumUse(program) - spent,
      openTurns: reserved.size,
    };
  }

  /** Forgets programs that have been silent for long. */
  sweep(at: number): void {
    for (const [programId, program] of this.#programs) {
      if (at - program.usedAt > FORGET_MILLISECONDS) {
        this.#programs.delete(programId);
      }
    }
  }

  /** All budgets, for a snapshot. */
  store(): readonly StoredBudget[] {
    const stored: StoredBudget[] = [];
    for (const [programId, program] of this.#programs) {
      stored.push({
        programId,
        spent: program.spent,
        reserved: [...program.reserved],
        settled: [...program.settled],
        usedAt: program.usedAt,
      });
    }
    return stored;
  }

  /** Replaces everything by the content of a snapshot. */
  restore(stored: readonly StoredBudget[]): void {
    this.#programs.clear();
    for (const program of stored) {
      this.#programs.set(program.programId, {
        spent: program.spent,
        reserved: new Map(program.reserved),
        settled: new Set(program.settled),
        usedAt: program.usedAt,
      });
    }
  }

  #get(programId: string, at: number): ProgramBudget {
    const known = this.#programs.get(programId);
    if (known !== undefined) {
      known.usedAt = Math.max(known.usedAt, at);
      return known;
    }
    const program: ProgramBudget = {
      spent: 0,
      reserved: new Map(),
      settled: new Set(),
      usedAt: at,
    };
    this.#programs.set(programId, program);
    return program;
  }
}

function sumUse(program: ProgramBudget): number {
  let sum = program.spent;
  for (const most of program.reserved.values()) sum += most;
  return sum;
}
