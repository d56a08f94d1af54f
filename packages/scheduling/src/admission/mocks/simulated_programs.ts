/**
 * Simulates programs at a leader that decides a fixed number of commands a second,
 * by a simulated clock.
 */

import type { ProgramAdmission } from "../program_admission.ts";

/** Time in which a program should end once it is admitted, in times of an idle leader. */
const AIM_FACTOR = 2.5;
/** Attempts of a caller to start a program. */
const ATTEMPTS = 3;

/** A leader and the programs that it serves. */
export interface SimulatedLoad {
  readonly commandsPerMillisecond: number;
  /** Commands of each program, one after the other. */
  readonly commands: number;
  /** Time between the decision of a command and the next command, ms. */
  readonly pauseMilliseconds: number;
}

interface SimulatedProgram {
  /** When its latest attempt to start began, ms. */
  startedAt: number;
  attempts: number;
  commandsLeft: number;
  /** When its next command arrives, ms. */
  nextAt: number;
}

/**
 * Runs programs against an admission, in steps of 1 ms.
 *
 * @example
 * ```ts
 * const load = { commandsPerMillisecond: 1, commands: 12, pauseMilliseconds: 40 };
 * const leader = new SimulatedPrograms(new ProgramAdmission(), load);
 * leader.run({ programsPerSecond: 50, milliseconds: 10_000 });
 * ```
 */
export class SimulatedPrograms {
  readonly #admission: ProgramAdmission;
  readonly #load: SimulatedLoad;
  #now = 0;
  #refused = 0;
  #due = 0;
  /** Commands that the leader can decide now. */
  #capacity = 0;
  #programs: SimulatedProgram[] = [];
  /** Programs whose command waits, in order of arrival. */
  #queue: SimulatedProgram[] = [];
  readonly #ended: { readonly startedAt: number; readonly endedAt: number }[] =
    [];

  constructor(admission: ProgramAdmission, load: SimulatedLoad) {
    this.#admission = admission;
    this.#load = load;
  }

  /** Simulated time, ms. */
  get now(): number {
    return this.#now;
  }

  /** Number of refused attempts to start a program. */
  get refused(): number {
    return this.#refused;
  }

  /** Number of programs a second that the leader can serve. */
  get limit(): number {
    const { commandsPerMillisecond, commands } = this.#load;
    return commandsPerMillisecond * 1_000 / commands;
  }

  /** Starts programs at a rate for a while. */
  run(
    span: { readonly programsPerSecond: number; readonly milliseconds: number },
  ): void {
    const until = this.#now + span.milliseconds;
    while (this.#now < until) {
      this.#due += span.programsPerSecond / 1_000;
      while (this.#due >= 1) {
        this.#due--;
        this.#programs.push({
          startedAt: this.#now,
          attempts: 0,
          commandsLeft: this.#load.commands,
          nextAt: this.#now,
        });
      }
      this.#step();
    }
  }

  /** Counts the programs that ended in time among those that began in a span. */
  countInTime(from: number, until: number): number {
    const { commands, pauseMilliseconds } = this.#load;
    const aim = AIM_FACTOR * commands * pauseMilliseconds;
    return this.#ended.filter(({ startedAt, endedAt }) =>
      startedAt >= from && startedAt < until &&
      endedAt - startedAt <= aim
    ).length;
  }

  #step(): void {
    for (const program of this.#programs) {
      if (program.nextAt <= this.#now) this.#arrive(program);
    }
    this.#programs = this.#programs.filter(({ attempts, commandsLeft }) =>
      attempts < ATTEMPTS && commandsLeft > 0
    );
    this.#capacity += this.#load.commandsPerMillisecond;
    const decided = this.#queue.splice(0, Math.floor(this.#capacity));
    this.#capacity %= 1;
    for (const program of decided) this.#decide(program);
    this.#now++;
  }

  #arrive(program: SimulatedProgram): void {
    const ageMilliseconds = this.#queue.length /
      this.#load.commandsPerMillisecond;
    const command = { ageMilliseconds, expectedMilliseconds: 0 };
    this.#admission.recordCommand(command, this.#now);
    const isNew = program.commandsLeft === this.#load.commands;
    if (isNew && !this.#admission.tryAdmit(this.#now)) {
      this.#refused++;
      program.attempts++;
      program.nextAt = this.#now + this.#admission.findRetryAfter();
      program.startedAt = program.nextAt;
      return;
    }
    program.nextAt = Infinity;
    this.#queue.push(program);
  }

  #decide(program: SimulatedProgram): void {
    program.commandsLeft--;
    program.nextAt = this.#now + this.#load.pauseMilliseconds;
    if (program.commandsLeft > 0) return;
    this.#ended.push({ startedAt: program.startedAt, endedAt: this.#now });
  }
}
