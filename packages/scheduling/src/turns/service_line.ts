/** Waiting line of a service whose turns all ask the leader of the site for a slot. */

import { StartedTurns } from "./started_turns.ts";
import { PriorityLine } from "./priority_line.ts";
import { ProgramLength } from "./program_length.ts";
import { ReturnTimes } from "./return_times.ts";
import type { TurnDemand } from "./turn_demand.ts";
import {
  LINE_DECISIONS,
  type LineDecision,
  type TurnLine,
} from "./turn_line.ts";
import type { ServiceRoom } from "./turn_placement.ts";
import type { WaitingTurn } from "./waiting_turns.ts";

/**
 * Turns that are placed beyond those that fill the slots, as a part of the slots: ends of
 * turns vary, and a freed slot should have a turn at its upstream.
 */
const OVERCOMMIT_PART = 0.08;
/**
 * Part of a turn's time at its upstream for which its slot is idle, if that is not known:
 * until the turn has arrived, and after it until the leader knows of its end.
 */
const IDLE_PART = 0.05;
/** Largest part that is believed. */
const MAX_IDLE_PART = 0.5;
/** Largest part of the slots that is kept free for more important turns. */
const MAX_RESERVE_PART = 0.125;
/**
 * Part of the time until a program's finish that its first turn may be expected to
 * wait. Programs usually have a fifth to a third of their time to spare, and their later
 * turns wait as well.
 */
const FIRST_WAIT_PART = 0.125;
/** Part of that time after which a first turn that still waits is given up. */
const GIVE_UP_PART = 0.25;
/** Smallest part of the slots that is expected to come free for a turn. */
const MIN_RATE_PART = 0.05;
/**
 * Part of the turns that can start which are left to refused ones that return: in an
 * overload, most that start arrive for the first time.
 */
const RETURN_PART = 0.25;
/** Shortest time for which a service that has no slots is expected to have none, ms. */
const MIN_OUTAGE_MILLISECONDS = 1_000;
/** Most turns of one priority that wait. */
const MAX_WAITING = 2_048;

/** Settings of a {@linkcode ServiceLine}. */
export interface ServiceLineOptions {
  /**
   * Turns that are placed beyond those that fill the slots, as a part of the slots; 0.08
   * by default.
   */
  readonly overcommitPart?: number;
}

/** What the line knows of one priority. */
interface PriorityState {
  readonly line: PriorityLine;
  readonly returns: ReturnTimes;
  readonly programLength: ProgramLength;
}

/**
 * Orders turns by priority, then as {@linkcode PriorityLine} does, and refuses those that
 * would wait for too long.
 *
 * Call `takeStarting` after each `enter` that waits, each `recordEnd` and each change of
 * the room.
 *
 * @example
 * ```ts
 * const line = new ServiceLine();
 * if (line.enter(demand, room, now) === LINE_DECISIONS.START) place(demand);
 * line.recordEnd(demand.turnId, later);
 * for (const next of line.takeStarting(room, later)) place(next);
 * ```
 */
export class ServiceLine implements TurnLine {
  readonly #overcommitPart: number;
  readonly #open = new StartedTurns();
  readonly #waiting = new Map<string, WaitingTurn>();
  /** In order of priority, the most urgent first. */
  readonly #priorities = new Map<number, PriorityState>();
  #order: readonly number[] = [];
  #sequence = 0;
  /** No turn that waits is given up before this time, ms. */
  #nextGiveUpAt = Infinity;
  /** Slots of the service when it had any. */
  #lastSlots = 1;
  /** Since when the service has no slots, ms; Infinity while it has. */
  #goneAt = Infinity;

  constructor(options: ServiceLineOptions = {}) {
    this.#overcommitPart = options.overcommitPart ?? OVERCOMMIT_PART;
  }

  get length(): number {
    return this.#waiting.size;
  }

  enter(demand: TurnDemand, room: ServiceRoom, now: number): LineDecision {
    this.#observe(room, now);
    this.leave(demand.turnId);
    if (demand.deadlineAt <= now) return LINE_DECISIONS.REFUSE;
    const { line } = this.#findPriority(demand.priority);
    const before = this.#countBefore(demand);
    if (before === 0 && room.open < this.#findLimit(demand, room, now)) {
      line.recordStart(demand, now);
      this.#recordStart(demand, now);
      return LINE_DECISIONS.START;
    }
    const isLate = this.#findWait(demand, room, now) >
      findMaxWait(demand, room, now);
    if (isLate || line.length >= MAX_WAITING) return LINE_DECISIONS.REFUSE;
    this.#wait(demand, room, now);
    return LINE_DECISIONS.WAIT;
  }

  takeStarting(room: ServiceRoom, now: number): readonly TurnDemand[] {
    this.#observe(room, now);
    const starting: TurnDemand[] = [];
    for (const priority of this.#order) {
      const { line } = this.#findPriority(priority);
      while (line.length > 0) {
        const open = room.open + starting.length;
        const next = this.#findNext(priority, { ...room, open }, now);
        if (next === undefined) break;
        line.start(next, now);
        this.#waiting.delete(next.demand.turnId);
        this.#recordStart(next.demand, now);
        starting.push(next.demand);
      }
    }
    return starting;
  }

  takeExpired(room: ServiceRoom, now: number): readonly TurnDemand[] {
    this.#observe(room, now);
    if (now < this.#nextGiveUpAt) return [];
    const expired: TurnDemand[] = [];
    this.#nextGiveUpAt = Infinity;
    for (const { line } of this.#priorities.values()) {
      for (const { demand } of line.listExpired(now)) {
        this.leave(demand.turnId);
        expired.push(demand);
      }
      this.#nextGiveUpAt = Math.min(
        this.#nextGiveUpAt,
        line.findNextGiveUpAt(),
      );
    }
    return expired;
  }

  leave(turnId: string): void {
    const turn = this.#waiting.get(turnId);
    if (turn === undefined) return;
    this.#waiting.delete(turnId);
    this.#findPriority(turn.demand.priority).line.remove(turn);
  }

  recordEnd(turnId: string, now: number): void {
    this.#open.end(turnId, now);
  }

  findRetryAfter(demand: TurnDemand, room: ServiceRoom, now: number): number {
    this.#observe(room, now);
    const { returns } = this.#findPriority(demand.priority);
    const wait = this.#findWait(demand, room, now);
    const minWait = this.#goneAt <= now ? MIN_OUTAGE_MILLISECONDS : 0;
    const earliest = Math.max(
      minWait,
      wait - findMaxWait(demand, room, now),
    ) + this.#findProgramMilliseconds(demand, room) / 2;
    const apart = 1 / (RETURN_PART * this.#findStartRate(demand, room, now));
    return returns.take({ earliest, apart }, now);
  }

  #recordStart(demand: TurnDemand, now: number): void {
    const { programLength } = this.#findPriority(demand.priority);
    programLength.record(demand.isStarted, now);
    this.#open.add(demand, now);
  }

  #observe({ slots }: ServiceRoom, now: number): void {
    if (slots === 0) {
      this.#goneAt = Math.min(this.#goneAt, now);
      return;
    }
    this.#goneAt = Infinity;
    this.#lastSlots = slots;
  }

  #findPriority(priority: number): PriorityState {
    const known = this.#priorities.get(priority);
    if (known !== undefined) return known;
    const state = {
      line: new PriorityLine(),
      returns: new ReturnTimes(),
      programLength: new ProgramLength(),
    };
    this.#priorities.set(priority, state);
    this.#order = [...this.#priorities.keys()].sort((one, other) =>
      one - other
    );
    return state;
  }

  /** Returns the next turn of a priority if there is room for it. */
  #findNext(
    priority: number,
    room: ServiceRoom,
    now: number,
  ): WaitingTurn | undefined {
    const { line } = this.#findPriority(priority);
    const started = { priority, isStarted: true };
    if (room.open >= this.#findLimit(started, room, now)) return undefined;
    const first = { priority, isStarted: false };
    const firstToo = room.open < this.#findLimit(first, room, now);
    return line.findNext({ firstToo }, now);
  }

  /** Returns how many turns of the service may be open for another one to start. */
  #findLimit(
    turn: Pick<TurnDemand, "priority" | "isStarted">,
    room: ServiceRoom,
    now: number,
  ): number {
    const { slots } = room;
    const part = 1 + findIdlePart(room) + this.#overcommitPart;
    const limit = Math.floor(slots * part);
    // Arrivals vary by about the square root of their mean.
    const deviation = Math.round(Math.sqrt(this.#findUsualBefore(turn, now)));
    return limit - Math.min(deviation, Math.floor(slots * MAX_RESERVE_PART));
  }

  /** Returns how many turns that go before a given one are usually open. */
  #findUsualBefore(
    { priority, isStarted }: Pick<TurnDemand, "priority" | "isStarted">,
    now: number,
  ): number {
    const urgent = this.#open.findUsualBefore(priority, now);
    return isStarted
      ? urgent
      : urgent + this.#open.findUsualStarted(priority, now);
  }

  /** Returns how many turns that wait would start before another one. */
  #countBefore({ priority, workspace, isStarted }: TurnDemand): number {
    let before = 0;
    for (const other of this.#order) {
      const { line } = this.#findPriority(other);
      if (other < priority) before += line.length;
      if (other === priority) before += line.countBefore(workspace, isStarted);
    }
    return before;
  }

  /** Returns how long a turn is expected to wait, ms. */
  #findWait(demand: TurnDemand, room: ServiceRoom, now: number): number {
    const limit = this.#findLimit(demand, room, now);
    const before = Math.max(0, room.open - limit) + this.#countBefore(demand);
    const milliseconds = (before + 1) / this.#findRate(demand, room, now);
    // A service without slots is expected to be without them for as long as it has been.
    return Math.max(0, now - this.#goneAt) + milliseconds;
  }

  /** Returns how many slots come free for a turn and its like, per ms. */
  #findRate(demand: TurnDemand, room: ServiceRoom, now: number): number {
    const slots = this.#lastSlots;
    const { priority, workspace, isStarted } = demand;
    let usualBefore = this.#findUsualBefore(demand, now);
    if (!isStarted) {
      const { line } = this.#findPriority(priority);
      usualBefore -= line.findPartBehind(workspace, now) *
        this.#open.findUsualStarted(priority, now);
    }
    const part = 1 - usualBefore / slots;
    return Math.max(MIN_RATE_PART, part) * slots /
      Math.max(1, room.meanTurnMilliseconds);
  }

  /** Returns the time that a program holds a slot, ms; that of a turn if it has started. */
  #findProgramMilliseconds(
    { priority, isStarted }: TurnDemand,
    { meanTurnMilliseconds }: ServiceRoom,
  ): number {
    if (isStarted) return meanTurnMilliseconds;
    const { programLength } = this.#findPriority(priority);
    return programLength.turns * meanTurnMilliseconds;
  }

  /** Returns how many turns like the given one can start in the long run, per ms. */
  #findStartRate(demand: TurnDemand, room: ServiceRoom, now: number): number {
    const { priority } = demand;
    const slots = this.#lastSlots;
    const urgent = this.#open.findUsualBefore(priority, now);
    const part = Math.max(MIN_RATE_PART, 1 - urgent / slots);
    return part * slots /
      Math.max(1, this.#findProgramMilliseconds(demand, room));
  }

  #wait(demand: TurnDemand, room: ServiceRoom, now: number): void {
    const turn = {
      demand,
      sequence: this.#sequence++,
      enteredAt: now,
      finishAt: now + demand.finishMilliseconds,
      giveUpAt: findGiveUpAt(demand, room, now),
    };
    this.#waiting.set(demand.turnId, turn);
    this.#findPriority(demand.priority).line.add(turn);
    this.#nextGiveUpAt = Math.min(this.#nextGiveUpAt, turn.giveUpAt);
  }
}

/** Returns for which part of a turn's time at its upstream its slot is idle. */
function findIdlePart(
  { meanTurnMilliseconds, meanUpstreamMilliseconds }: ServiceRoom,
): number {
  if (meanUpstreamMilliseconds === undefined) return IDLE_PART;
  const idleMilliseconds = meanTurnMilliseconds - meanUpstreamMilliseconds;
  const part = idleMilliseconds / Math.max(1, meanUpstreamMilliseconds);
  return Math.min(MAX_IDLE_PART, Math.max(0, part));
}

/** Returns the wait up to which a turn is worth to be kept, ms. */
function findMaxWait(
  demand: TurnDemand,
  room: ServiceRoom,
  now: number,
): number {
  const left = demand.deadlineAt - room.meanTurnMilliseconds - now;
  if (demand.isStarted) return left;
  return Math.min(left, FIRST_WAIT_PART * demand.finishMilliseconds);
}

/** Returns when a turn that waits can no longer be served in time, ms. */
function findGiveUpAt(
  demand: TurnDemand,
  room: ServiceRoom,
  now: number,
): number {
  const latest = demand.deadlineAt - room.meanTurnMilliseconds;
  if (demand.isStarted) return latest;
  return Math.min(latest, now + GIVE_UP_PART * demand.finishMilliseconds);
}
