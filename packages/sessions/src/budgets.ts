/** Token budgets of programs; the first turn of a program creates its budget. */

import { hasScope, type TurnReservation } from "@mallowlift/core";
import { FormerIds } from "./former_ids.ts";

/**
 * Time without a turn after which the budget of a program is dropped, ms, unless a
 * turn of it is kept or may be open for longer: a stopped program must not get a
 * fresh budget when it continues one of its turns.
 */
const IDLE_RETENTION_MILLISECONDS = 600_000;

interface ProgramBudget {
  spent: number;
  /** Maximum number of tokens of each unsettled turn, by turn id. */
  readonly reserved: Map<string, number>;
  /** Ids of settled turns, so that a delayed duplicate reserves nothing. */
  readonly settled: Set<string>;
  usedAt: number;
  /** Site time until which a turn is kept or may be open, ms. */
  retainedUntil: number;
}

/** What a program has used of its budget, in tokens. */
export interface BudgetUse {
  readonly spent: number;
  /** Tokens that the unsettled turns may generate at most. */
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
  /** Missing in earlier releases. */
  readonly retainedUntil?: number;
}

/** Tracks the spent and reserved tokens of each program. */
export class Budgets {
  readonly #programs = new Map<string, ProgramBudget>();
  readonly #formerIds = new FormerIds(this.#programs);

  /** Number of programs with a budget. */
  get size(): number {
    return this.#programs.size;
  }

  /**
   * Reserves the maximum that a turn may generate. A turn is refused only when
   * the budget is used up, so spent and reserved tokens together exceed the
   * budget by at most one turn.
   *
   * @returns false if the budget is used up
   */
  reserve(turn: TurnReservation, at: number): boolean {
    const program = this.#get(turn.programId, at);
    if (program.settled.has(turn.turnId)) return true;
    if (program.reserved.has(turn.turnId)) return true;
    const limited = turn.tokenBudget >= 0;
    if (limited && sumUsage(program) >= turn.tokenBudget) return false;
    program.reserved.set(turn.turnId, turn.mostTokens);
    return true;
  }

  /** Replaces the reservation of a turn by the tokens that it generated. */
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

  /** Keeps the budget of a program, if it has one, at least until a site time, ms. */
  retain(programId: string, until: number): void {
    const program = this.#find(programId);
    if (program === undefined) return;
    program.retainedUntil = Math.max(program.retainedUntil, until);
  }

  /** True if a program has begun a turn. */
  has(programId: string): boolean {
    return this.#find(programId) !== undefined;
  }

  /** True if a turn has a reservation or is settled. */
  hasReserved(programId: string, turnId: string): boolean {
    const program = this.#find(programId);
    return program !== undefined &&
      (program.reserved.has(turnId) || program.settled.has(turnId));
  }

  /** True if a turn is settled. */
  hasSettled(programId: string, turnId: string): boolean {
    return this.#find(programId)?.settled.has(turnId) === true;
  }

  /**
   * True if the settled turns of a program have used up a budget, so that each further
   * turn will be refused. Reserved tokens can still come free.
   */
  isSpent(programId: string, tokenBudget: number): boolean {
    const spent = this.#find(programId)?.spent ?? 0;
    return tokenBudget >= 0 && spent > 0 && spent >= tokenBudget;
  }

  /** Returns the usage of a program; all zero if the program is unknown. */
  describe(programId: string): BudgetUse {
    const program = this.#find(programId);
    if (program === undefined) return { spent: 0, reserved: 0, openTurns: 0 };
    const { spent, reserved } = program;
    return {
      spent,
      reserved: sumUsage(program) - spent,
      openTurns: reserved.size,
    };
  }

  /**
   * Drops programs that have been idle for {@linkcode IDLE_RETENTION_MILLISECONDS} and
   * are not retained.
   */
  sweep(at: number): void {
    for (const [programId, program] of this.#programs) {
      const isIdle = at - program.usedAt > IDLE_RETENTION_MILLISECONDS;
      if (isIdle && at > program.retainedUntil) {
        this.#programs.delete(programId);
      }
    }
  }

  /** Returns all budgets for a snapshot. */
  store(): readonly StoredBudget[] {
    const stored: StoredBudget[] = [];
    for (const [programId, program] of this.#programs) {
      stored.push({
        programId,
        spent: program.spent,
        reserved: [...program.reserved],
        settled: [...program.settled],
        usedAt: program.usedAt,
        retainedUntil: program.retainedUntil,
      });
    }
    return stored;
  }

  /** Replaces all budgets by those of a snapshot. */
  restore(stored: readonly StoredBudget[]): void {
    this.#programs.clear();
    this.#formerIds.clear();
    for (const program of stored) {
      this.#set(program.programId, {
        spent: program.spent,
        reserved: new Map(program.reserved),
        settled: new Set(program.settled),
        usedAt: program.usedAt,
        retainedUntil: program.retainedUntil ?? 0,
      });
    }
  }

  /** Finds a budget, also by the id that its program has since workspaces came or went. */
  #find(programId: string): ProgramBudget | undefined {
    const program = this.#programs.get(programId);
    if (program !== undefined) return program;
    const formerId = this.#formerIds.find(programId);
    return formerId === undefined ? undefined : this.#programs.get(formerId);
  }

  #get(programId: string, at: number): ProgramBudget {
    this.#adopt(programId);
    const known = this.#find(programId);
    if (known !== undefined) {
      known.usedAt = Math.max(known.usedAt, at);
      return known;
    }
    const program: ProgramBudget = {
      spent: 0,
      reserved: new Map(),
      settled: new Set(),
      usedAt: at,
      retainedUntil: 0,
    };
    this.#set(programId, program);
    return program;
  }

  /** Gives a budget of the time without workspaces to the first one that goes on with it. */
  #adopt(programId: string): void {
    if (!hasScope(programId) || this.#programs.has(programId)) return;
    const formerId = this.#formerIds.find(programId);
    const program = this.#programs.get(formerId ?? "");
    if (formerId === undefined || program === undefined) return;
    this.#delete(formerId);
    this.#set(programId, program);
  }

  #set(programId: string, program: ProgramBudget): void {
    this.#programs.set(programId, program);
    this.#formerIds.add(programId);
  }

  #delete(programId: string): void {
    this.#programs.delete(programId);
    this.#formerIds.delete(programId);
  }
}

function sumUsage(program: ProgramBudget): number {
  let sum = program.spent;
  for (const maxTokens of program.reserved.values()) sum += maxTokens;
  return sum;
}
