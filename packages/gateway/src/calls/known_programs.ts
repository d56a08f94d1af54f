/** Remembers the precedence of programs whose turns a gateway has served. */

import type { RequestPrecedence } from "@mallowlift/core";

/** Programs that are remembered; the one without a call for the longest is dropped. */
const MAX_PROGRAMS = 4_096;

/** Precedence of programs by the turns that they have started. */
export class KnownPrograms {
  /** The least recently used first. */
  readonly #programs = new Map<string, RequestPrecedence>();

  /** True if a turn of a program has been recorded. */
  has(programId: string): boolean {
    return this.#programs.has(programId);
  }

  /** Records a turn of a program. */
  record(programId: string, precedence: RequestPrecedence): void {
    if (programId === "") return;
    this.#programs.delete(programId);
    this.#programs.set(programId, precedence);
    if (this.#programs.size <= MAX_PROGRAMS) return;
    const [oldest = ""] = this.#programs.keys();
    this.#programs.delete(oldest);
  }

  /**
   * Returns the precedence of a call that is no turn: a tool call that a program waits
   * for is as urgent as the program.
   */
  findPrecedence(
    programId: string,
    own: RequestPrecedence,
  ): RequestPrecedence {
    const known = this.#programs.get(programId);
    if (known === undefined || known.priority >= own.priority) return own;
    return known;
  }
}
