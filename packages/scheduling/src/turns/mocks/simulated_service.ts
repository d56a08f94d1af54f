/** Simulates programs whose turns ask a line for slots, in steps of 1 ms. */

import type { TurnDemand } from "../turn_demand.ts";
import { LINE_DECISIONS, type TurnLine } from "../turn_line.ts";

/** Time from a turn's answer to the next turn of its program, ms. */
const PAUSE_MILLISECONDS = 20;
/** Shortest and longest time that a turn occupies a slot, ms. */
const TURN_MILLISECONDS = { min: 100, max: 300 };
/** Time for which the caller of a turn waits, ms. */
const CALLER_MILLISECONDS = 10_000;
const ATTEMPTS = 3;
const SLOTS_PER_UPSTREAM = 6;
/** Weight of a turn in the mean time of turns. */
const MEAN_WEIGHT = 0.02;

/** Programs that arrive at random with a mean rate. */
export interface SimulatedClass {
  readonly workspace: string;
  readonly priority: number;
  /** Turns of a program, one after the other. */
  readonly turns: number;
  /** A program is in time if it ends within its own time by this factor, ... */
  readonly factor: number;
  /** ... and this time, ms. */
  readonly spareMilliseconds: number;
  /** Slots that its programs keep busy at a given time, in the mean. */
  readonly findSlots: (now: number) => number;
}

/** A load of a service. */
export interface SimulatedLoad {
  readonly seed: number;
  readonly milliseconds: number;
  /** Time of a message between the line and an upstream, ms. */
  readonly messageMilliseconds: number;
  readonly findSlots: (now: number) => number;
  readonly classes: readonly SimulatedClass[];
}

/** A program and what became of it. */
export interface SimulatedProgram {
  readonly from: SimulatedClass;
  readonly arrivedAt: number;
  /** Time that its turns occupy slots, ms. */
  readonly durations: readonly number[];
  readonly idealMilliseconds: number;
  attempts: number;
  turnsEnded: number;
  /** When it ended, ms; Infinity if it has not. */
  endedAt: number;
  isRefused: boolean;
}

interface SimulatedTurn {
  readonly program: SimulatedProgram;
  readonly demand: TurnDemand;
  readonly askedAt: number;
  placedAt: number;
}

interface SimulatedUpstream {
  /** Turns that were placed here and have not ended. */
  open: number;
  running: number;
  /** Turns that have arrived without a free slot. */
  readonly queue: SimulatedTurn[];
}

/** A turn that was answered. */
export interface AnsweredTurn {
  readonly from: SimulatedClass;
  readonly askedAt: number;
  readonly milliseconds: number;
}

/**
 * Runs a load against a line.
 *
 * @example
 * ```ts
 * const service = new SimulatedService(new ServiceLine(), load);
 * service.run();
 * service.programs.filter(isInTime).length;
 * ```
 */
export class SimulatedService {
  readonly programs: SimulatedProgram[] = [];
  readonly answered: AnsweredTurn[] = [];
  /** Time that slots were occupied in each second, ms. */
  readonly busyMilliseconds: number[] = [];
  /** Times at which refused programs were told to return, ms. */
  readonly returns: number[] = [];
  readonly #line: TurnLine;
  readonly #load: SimulatedLoad;
  /** Arrivals and durations, equal for all lines. */
  readonly #random: () => number;
  readonly #turns = new Map<string, SimulatedTurn>();
  readonly #events = new Map<number, (() => void)[]>();
  readonly #upstreams: SimulatedUpstream[] = [];
  #now = 0;
  #asked = 0;
  #meanTurnMilliseconds = 230;

  constructor(line: TurnLine, load: SimulatedLoad) {
    this.#line = line;
    this.#load = load;
    this.#random = createRandom(load.seed);
  }

  /** Runs the whole load. */
  run(): this {
    while (this.#now < this.#load.milliseconds) this.#step();
    return this;
  }

  #step(): void {
    this.#arrive();
    for (const act of this.#events.get(this.#now) ?? []) act();
    this.#events.delete(this.#now);
    this.#startAll();
    for (const { turnId } of this.#line.takeExpired(this.#room, this.#now)) {
      this.#refuse(turnId);
    }
    const second = Math.floor(this.#now / 1_000);
    this.busyMilliseconds[second] = (this.busyMilliseconds[second] ?? 0) +
      this.#upstreams.reduce((sum, { running }) => sum + running, 0);
    this.#now++;
  }

  get #room() {
    return {
      slots: this.#load.findSlots(this.#now),
      open: this.#upstreams.reduce((sum, { open }) => sum + open, 0),
      meanTurnMilliseconds: this.#meanTurnMilliseconds,
      meanUpstreamMilliseconds: this.#meanTurnMilliseconds -
        2 * this.#load.messageMilliseconds,
    };
  }

  #arrive(): void {
    for (const from of this.#load.classes) {
      const { min, max } = TURN_MILLISECONDS;
      const slotMilliseconds = from.turns * (min + max) / 2;
      const rate = from.findSlots(this.#now) / slotMilliseconds;
      for (let left = rate; left > 0; left--) {
        if (this.#random() >= left) continue;
        const durations = Array.from(
          { length: from.turns },
          () => Math.round(min + (max - min) * this.#random()),
        );
        const idealMilliseconds = durations.reduce(
          (sum, duration) =>
            sum + duration + 2 * this.#load.messageMilliseconds +
            PAUSE_MILLISECONDS,
          0,
        );
        const program = {
          from,
          arrivedAt: this.#now,
          durations,
          idealMilliseconds,
          attempts: 0,
          turnsEnded: 0,
          endedAt: Infinity,
          isRefused: false,
        };
        this.programs.push(program);
        this.#ask(program);
      }
    }
  }

  #ask(program: SimulatedProgram): void {
    const { from, turnsEnded, arrivedAt } = program;
    if (turnsEnded === 0) program.attempts++;
    const demand: TurnDemand = {
      turnId: `${this.#asked++}`,
      service: "model",
      workspace: from.workspace,
      weight: 1,
      priority: from.priority,
      isStarted: turnsEnded > 0,
      finishMilliseconds: arrivedAt + findAim(program) - this.#now,
      promptTokens: 0,
      historyTokens: 0,
      historyUpstream: "",
      gateway: "",
      failureDomain: "",
      deadlineAt: this.#now + CALLER_MILLISECONDS,
    };
    const turn = { program, demand, askedAt: this.#now, placedAt: 0 };
    this.#turns.set(demand.turnId, turn);
    const decision = this.#line.enter(demand, this.#room, this.#now);
    if (decision === LINE_DECISIONS.START) this.#place(turn);
    if (decision === LINE_DECISIONS.REFUSE) this.#refuse(demand.turnId);
  }

  #startAll(): void {
    for (const { turnId } of this.#line.takeStarting(this.#room, this.#now)) {
      const turn = this.#turns.get(turnId);
      if (turn !== undefined) this.#place(turn);
    }
  }

  #place(turn: SimulatedTurn): void {
    turn.placedAt = this.#now;
    const upstream = this.#findLeastLoaded();
    upstream.open++;
    this.#after(this.#load.messageMilliseconds, () => {
      upstream.queue.push(turn);
      this.#runQueue(upstream);
    });
  }

  #findLeastLoaded(): SimulatedUpstream {
    const count = this.#load.findSlots(this.#now) / SLOTS_PER_UPSTREAM;
    while (this.#upstreams.length < count) {
      this.#upstreams.push({ open: 0, running: 0, queue: [] });
    }
    return this.#upstreams.slice(0, count).reduce((least, upstream) =>
      upstream.open < least.open ? upstream : least
    );
  }

  #runQueue(upstream: SimulatedUpstream): void {
    while (upstream.running < SLOTS_PER_UPSTREAM) {
      const turn = upstream.queue.shift();
      if (turn === undefined) return;
      upstream.running++;
      const { program } = turn;
      this.#after(program.durations[program.turnsEnded] ?? 0, () => {
        upstream.running--;
        this.#runQueue(upstream);
        this.#after(this.#load.messageMilliseconds, () => {
          upstream.open--;
          this.#end(turn);
        });
      });
    }
  }

  #end({ program, demand, askedAt, placedAt }: SimulatedTurn): void {
    this.#turns.delete(demand.turnId);
    this.#line.recordEnd(demand.turnId, this.#now);
    const placedMilliseconds = this.#now - placedAt;
    this.#meanTurnMilliseconds += MEAN_WEIGHT *
      (placedMilliseconds - this.#meanTurnMilliseconds);
    const milliseconds = this.#now - askedAt;
    this.answered.push({ from: program.from, askedAt, milliseconds });
    program.turnsEnded++;
    if (program.turnsEnded === program.from.turns) program.endedAt = this.#now;
    else this.#after(PAUSE_MILLISECONDS, () => this.#ask(program));
  }

  #refuse(turnId: string): void {
    const turn = this.#turns.get(turnId);
    if (turn === undefined) return;
    this.#turns.delete(turnId);
    const { program, demand } = turn;
    if (demand.isStarted || program.attempts === ATTEMPTS) {
      program.isRefused = true;
      return;
    }
    const retryMilliseconds = this.#line.findRetryAfter(
      demand,
      this.#room,
      this.#now,
    );
    this.returns.push(this.#now + retryMilliseconds);
    this.#after(retryMilliseconds, () => this.#ask(program));
  }

  #after(milliseconds: number, act: () => void): void {
    const at = this.#now + Math.max(1, milliseconds);
    const acts = this.#events.get(at) ?? [];
    this.#events.set(at, acts);
    acts.push(act);
  }
}

/** True if a program ended in the time that it should. */
export function isInTime(program: SimulatedProgram): boolean {
  return program.endedAt - program.arrivedAt <= findAim(program);
}

function findAim({ from, idealMilliseconds }: SimulatedProgram): number {
  return from.factor * idealMilliseconds + from.spareMilliseconds;
}

/** Returns uniform numbers below 1 that a seed determines. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
