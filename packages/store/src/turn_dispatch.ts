/**
 * Lets turns wait in the lines of their services and places them on upstreams
 * while this store leads. What it knows is in memory only: a new leader starts
 * without open turns and learns them from the turns that begin and end.
 */

import { performance } from "node:perf_hooks";
import {
  countRefusal,
  createDeferred,
  type Deferred,
  fail,
  type InstanceList,
  type Logger,
  type Metrics,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import {
  LINE_DECISIONS,
  type TurnDemand,
  type TurnLine,
  type TurnPlacement,
  type TurnReport,
} from "@mallowlift/scheduling";
import { Ok } from "ts-results";
import { LineReport } from "./line_report.ts";

/** Interval at which waiting turns are checked without an end of another turn, ms. */
const CHECK_MILLISECONDS = 25;
/** Interval at which turns whose end was lost are dropped, ms. */
const SWEEP_MILLISECONDS = 1_000;

/** Options of {@linkcode TurnDispatch}. */
export interface TurnDispatchOptions {
  /** Returns the newest instance list; undefined if there is none. */
  readonly findInstances: () => InstanceList | undefined;
  readonly createPlacement: () => TurnPlacement;
  readonly createLine: () => TurnLine;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface ServiceTurns {
  readonly line: TurnLine;
  readonly report: LineReport;
}

interface DispatchedTurn {
  readonly demand: TurnDemand;
  /** Resolves with the upstream's id; empty if no upstream is known. */
  readonly placed: Deferred<Outcome<string>>;
  readonly enteredAt: number;
  isWaiting: boolean;
}

/**
 * Waits for slots and places turns.
 *
 * @example
 * ```ts
 * const entered = dispatch.enter(demand, { signal, until });
 * const placed = entered.ok ? await entered.val : entered;
 * // The turn runs at the upstream, and its gateway reports the end.
 * dispatch.end("turn-7", report);
 * ```
 */
export class TurnDispatch {
  readonly #options: TurnDispatchOptions;
  readonly #turns = new Map<string, DispatchedTurn>();
  readonly #services = new Map<string, ServiceTurns>();
  #placement: TurnPlacement;
  #listRevision = "";
  #sweptAt = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: TurnDispatchOptions) {
    this.#options = options;
    this.#placement = options.createPlacement();
  }

  /** Number of turns that wait in all lines. */
  get waiting(): number {
    let waiting = 0;
    for (const { line } of this.#services.values()) waiting += line.length;
    return waiting;
  }

  /**
   * Lets a turn enter the line of its service.
   *
   * @returns QUEUE_FULL if the turn cannot be served in time; otherwise a promise
   * of its upstream's id, which is empty if none is known, and QUEUE_FULL if it can
   * no longer be served in time
   */
  enter(
    demand: TurnDemand,
    wait: {
      /** Aborts when the gateway no longer waits. */
      readonly signal: AbortSignal;
      /** When the gateway stops to wait, by the local clock, ms. */
      readonly until: number;
    },
  ): Outcome<Promise<Outcome<string>>> {
    const now = performance.now();
    this.#followInstances();
    this.#sweep(now);
    const known = this.#turns.get(demand.turnId);
    if (known !== undefined) return Ok(known.placed.promise);
    const room = this.#placement.findRoom(demand.service, now);
    // A waiting turn must be placed while its gateway still waits.
    const deadlineAt = Math.min(demand.deadlineAt, wait.until);
    const decision = room.slots === 0
      ? LINE_DECISIONS.START
      : this.#find(demand.service).line
        .enter({ ...demand, deadlineAt }, room, now);
    if (decision === LINE_DECISIONS.REFUSE) return this.#refuse(demand, now);
    const turn = {
      demand,
      placed: createDeferred<Outcome<string>>(),
      enteredAt: now,
      isWaiting: true,
    };
    this.#turns.set(demand.turnId, turn);
    if (decision === LINE_DECISIONS.START) this.#place(turn, now);
    else this.#letWait(turn, wait.signal);
    return Ok(turn.placed.promise);
  }

  /** Ends a turn, whether it ran or not, and starts those that waited for its slot. */
  end(turnId: string, report: TurnReport | undefined): void {
    const now = performance.now();
    const turn = this.#turns.get(turnId);
    this.#placement.end(turnId, report, now);
    if (turn === undefined) return;
    this.#turns.delete(turnId);
    if (turn.isWaiting) {
      turn.placed.resolve(
        fail(RESULT_CODES.CANCELLED, "The caller has given up"),
      );
    }
    const { service } = turn.demand;
    const { line } = this.#find(service);
    line.leave(turnId);
    line.recordEnd(turnId, now);
    this.#startWaiting(service, now);
  }

  /** Forgets all turns, since another store leads. */
  clear(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    for (const { placed } of this.#turns.values()) {
      placed.resolve(fail(RESULT_CODES.NOT_LEADER, "The leadership has ended"));
    }
    this.#turns.clear();
    this.#services.clear();
    this.#options.metrics.waitingTurns.reset();
    this.#options.metrics.openTurns.reset();
    this.#placement = this.#options.createPlacement();
    this.#listRevision = "";
  }

  #letWait(turn: DispatchedTurn, signal: AbortSignal): void {
    const { turnId } = turn.demand;
    signal.addEventListener("abort", () => {
      // Turns that have started end with their report.
      if (this.#turns.get(turnId) !== turn || !turn.isWaiting) return;
      this.end(turnId, undefined);
    }, { once: true });
    this.#timer ??= setInterval(() => this.#check(), CHECK_MILLISECONDS)
      .unref();
  }

  #check(): void {
    const now = performance.now();
    this.#followInstances();
    for (const service of this.#services.keys()) {
      this.#startWaiting(service, now);
    }
    if (this.waiting > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #startWaiting(service: string, now: number): void {
    const { line } = this.#find(service);
    if (line.length === 0) return;
    const room = this.#placement.findRoom(service, now);
    for (const { turnId } of line.takeStarting(room, now)) {
      const turn = this.#turns.get(turnId);
      if (turn !== undefined) this.#place(turn, now);
    }
    for (const demand of line.takeExpired(room, now)) {
      this.#turns.get(demand.turnId)?.placed.resolve(this.#refuse(demand, now));
      this.#turns.delete(demand.turnId);
    }
  }

  #place(turn: DispatchedTurn, now: number): void {
    turn.isWaiting = false;
    const { demand, enteredAt } = turn;
    const waitMilliseconds = now - enteredAt;
    this.#find(demand.service).report.recordStart(demand, waitMilliseconds);
    this.#options.metrics.turnWaitSeconds.observe(
      { priority: demand.priority },
      waitMilliseconds / 1_000,
    );
    turn.placed.resolve(Ok(this.#placement.place(turn.demand, now) ?? ""));
  }

  #refuse(demand: TurnDemand, now: number): ReturnType<typeof fail> {
    const code = RESULT_CODES.QUEUE_FULL;
    countRefusal(this.#options.metrics, "line", code);
    const room = this.#placement.findRoom(demand.service, now);
    const { line, report } = this.#find(demand.service);
    report.recordRefusal(demand);
    return fail(code, code.meaning, line.findRetryAfter(demand, room, now));
  }

  #find(service: string): ServiceTurns {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const turns = {
      line: this.#options.createLine(),
      report: new LineReport(this.#options.logger),
    };
    this.#services.set(service, turns);
    return turns;
  }

  #followInstances(): void {
    const list = this.#options.findInstances();
    if (list === undefined || list.revision === this.#listRevision) return;
    this.#listRevision = list.revision;
    this.#placement.update(list.instances);
  }

  /**
   * Drops turns whose callers have stopped to wait, so that lost ends do not add up,
   * and reports on the lines.
   */
  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MILLISECONDS) return;
    this.#sweptAt = now;
    const { waitingTurns, openTurns } = this.#options.metrics;
    for (const [service, { line, report }] of this.#services) {
      const room = this.#placement.findRoom(service, now);
      waitingTurns.set({ service }, line.length);
      openTurns.set({ service }, room.open);
      report.write({ service, room, waiting: line.length });
    }
    for (const [turnId, { demand }] of this.#turns) {
      if (demand.deadlineAt < now) this.end(turnId, undefined);
    }
  }
}
