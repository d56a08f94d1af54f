/** Decides which requests a leader proposes, by the time that their callers have left. */

import { URGENCIES, type Urgency } from "@mallowlift/consensus";
import {
  type CommandDelay,
  createFastestCommit,
  type NewProgram,
  ProgramAdmission,
} from "@mallowlift/scheduling";

/** Reasons for which a request is not proposed; the values are metric labels. */
export const REQUEST_REFUSALS = {
  /** Its caller has stopped to wait. */
  EXPIRED: "expired",
  /** Its command is not expected to commit in time. */
  LATE: "owner",
  /** It starts a program, and new programs are limited. */
  LIMITED: "programs",
} as const;

/** One of {@linkcode REQUEST_REFUSALS}. */
export type RequestRefusal =
  typeof REQUEST_REFUSALS[keyof typeof REQUEST_REFUSALS];

/** A request whose turn has come. */
export interface ReadRequest extends CommandDelay {
  readonly urgency: Urgency;
  /** When its caller stops to wait, by the local monotonic clock, ms. */
  readonly deadlineAt: number;
}

/**
 * Refuses what would be decided for nobody, and new programs that would make others
 * late.
 *
 * @example
 * ```ts
 * const admission = new RequestAdmission();
 * admission.tryStart(program, now); // true: it may wait for its turn
 * admission.findRefusal(request, now); // undefined: it is proposed
 * ```
 */
export class RequestAdmission {
  readonly #fastestCommit = createFastestCommit();
  /**
   * By priority. More urgent requests are read first, so a priority is limited by its
   * own delay and by that of the more urgent ones.
   */
  readonly #programs = new Map<number, ProgramAdmission>();

  /** Returns why a request is not proposed; undefined if it is. */
  findRefusal(request: ReadRequest, now: number): RequestRefusal | undefined {
    const { urgency, deadlineAt, expectedMilliseconds } = request;
    this.#recordCommand(request, now);
    if (now >= deadlineAt) return REQUEST_REFUSALS.EXPIRED;
    // What ends a turn is worth its commit also if that is expected to come late.
    if (urgency === URGENCIES.FINISH) return undefined;
    return now + expectedMilliseconds >= deadlineAt
      ? REQUEST_REFUSALS.LATE
      : undefined;
  }

  /** Decides whether a program may start, see {@linkcode ProgramAdmission.tryAdmit}. */
  tryStart(program: NewProgram, now: number): boolean {
    return this.#findPrograms(program.priority).tryAdmit(now, program);
  }

  /** Records how long a command took to commit, ms. */
  recordCommit(milliseconds: number, now: number): void {
    this.#fastestCommit.record(milliseconds, now);
  }

  /**
   * Returns the time after which a program that was limited should start again, ms.
   *
   * @param priority that of the program, 0 by default
   */
  findProgramRetryAfter(priority = 0): number {
    return this.#findPrograms(priority).findRetryAfter();
  }

  #recordCommand(command: CommandDelay, now: number): void {
    const { priority = 0 } = command;
    this.#findPrograms(priority);
    for (const [other, programs] of this.#programs) {
      if (other >= priority) programs.recordCommand(command, now);
    }
  }

  #findPrograms(priority: number): ProgramAdmission {
    const known = this.#programs.get(priority);
    if (known !== undefined) return known;
    const programs = new ProgramAdmission({
      fastestCommit: this.#fastestCommit,
    });
    this.#programs.set(priority, programs);
    return programs;
  }
}
