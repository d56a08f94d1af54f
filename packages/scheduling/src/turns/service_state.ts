/** What the leader knows about the upstreams of one service together. */

import type { OpenTurn } from "./open_turns.ts";
import { PromptRate } from "./prompt_rate.ts";
import type { TurnReport } from "./turn_demand.ts";
import type { ServiceRate } from "./upstream_rate.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Time of a turn that is assumed before any has been measured, ms. */
const INITIAL_TURN_MILLISECONDS = 200;
/** Time per token that is assumed before any has been measured, ms. */
const INITIAL_TOKEN_MILLISECONDS = 5;
/** Weight of the newest turn in the means over all upstreams. */
const NEWEST_WEIGHT = 0.02;
/** Time after which the median rate is computed again, ms. */
const MEDIAN_INTERVAL_MILLISECONDS = 100;
/** Ends that must be overdue before the reports of a service count as lost. */
const MIN_OVERDUE_ENDS = 20;
/** Multiple of the mean time of a turn without any end that is also needed. */
const SILENCE_FACTOR = 2;
/**
 * Time after which the end of an open turn counts as lost, as a multiple of the
 * longest recent turn.
 */
const LOST_FACTOR = 1.5;
/** Part of the longest recent turn that each further turn leaves. */
const KEPT_LONGEST = 0.998;
/** Turns that must have ended before the end of any counts as lost. */
const MIN_TURNS_FOR_LOSS = 50;
/** Weight of an upstream's turns from which it counts for the median. */
const MIN_MEDIAN_WEIGHT = 1;

/** The upstreams of a service and the means of its turns. */
export class ServiceState {
  /** Upstreams of the present list. */
  upstreams: UpstreamState[] = [];
  #longestMilliseconds = 0;
  #servedAt = -Infinity;
  #reportedSince = -Infinity;
  readonly #prompts = new PromptRate();
  readonly #tokens = new MovingMean();
  readonly #turnMilliseconds = new MovingMean();
  /** Time of placed turns from the send to the last event. */
  readonly #servedMilliseconds = new MovingMean();
  readonly #logSquares = new MovingMean();
  #logMilliseconds = Math.log(INITIAL_TOKEN_MILLISECONDS);
  #medianAt = -Infinity;
  #sorted = new Float64Array(0);

  /** Times per token of its turns. */
  get rate(): ServiceRate {
    return {
      logMilliseconds: this.#logMilliseconds,
      logVariance: this.#logSquares.mean,
    };
  }

  /** Time per prompt token, ms. */
  get promptTokenMilliseconds(): number {
    return this.#prompts.tokenMilliseconds;
  }

  /** Expected time from the first event of a turn to the last, ms. */
  get streamMilliseconds(): number {
    return this.#tokens.mean * Math.exp(this.#logMilliseconds);
  }

  /** Mean time for which a turn occupies a slot, ms. */
  get slotMilliseconds(): number {
    const measured = this.#prompts.meanMilliseconds + this.streamMilliseconds;
    return measured > 0 ? measured : INITIAL_TURN_MILLISECONDS;
  }

  /** Mean time from the placement of a turn to its end, ms. */
  get turnMilliseconds(): number {
    return this.#turnMilliseconds.count === 0
      ? this.slotMilliseconds
      : this.#turnMilliseconds.mean;
  }

  /** Mean time of placed turns from the send to the last event, ms; 0 if none has ended. */
  get upstreamMilliseconds(): number {
    return this.#servedMilliseconds.mean;
  }

  /** Age at which the end of an open turn counts as lost, ms. */
  get lostMilliseconds(): number {
    return this.#turnMilliseconds.count < MIN_TURNS_FOR_LOSS
      ? Infinity
      : LOST_FACTOR * this.#longestMilliseconds;
  }

  /**
   * Returns the time since which ends of turns arrive without a long gap; the
   * present if none arrive. Without ends of any upstream, the way of the reports
   * is the more likely cause than the upstreams.
   */
  findReportedSince(now: number): number {
    const gap = now - this.#servedAt;
    const mean = this.turnMilliseconds;
    if (gap < SILENCE_FACTOR * mean) return this.#reportedSince;
    let open = 0;
    for (const upstream of this.upstreams) open += upstream.open;
    const isSilent = open * gap >= MIN_OVERDUE_ENDS * mean;
    return isSilent ? now : this.#reportedSince;
  }

  /** Learns from a turn that an upstream has served. */
  observe(upstream: UpstreamState, report: TurnReport, now: number): void {
    this.#reportedSince = this.findReportedSince(now);
    this.#servedAt = now;
    this.#tokens.add(report.streamTokens);
    if (report.streamTokens <= 0 || report.streamMilliseconds <= 0) return;
    const { streamMilliseconds, streamTokens } = report;
    if (this.#logSquares.count === 0) {
      this.#logMilliseconds = Math.log(streamMilliseconds / streamTokens);
    }
    const difference = upstream.rate.observe({
      milliseconds: streamMilliseconds,
      tokens: streamTokens,
      service: this.rate,
    }, now);
    this.#logSquares.add(difference * difference);
    this.#updateMedian(now);
  }

  /** Learns from the times of a turn that ran where it was placed. */
  observePlaced(turn: OpenTurn, report: TurnReport, now: number): void {
    const milliseconds = now - turn.placedAt;
    this.#turnMilliseconds.add(milliseconds);
    this.#longestMilliseconds = Math.max(
      milliseconds,
      this.#longestMilliseconds * KEPT_LONGEST,
    );
    if (report.firstMilliseconds < 0) return;
    this.#servedMilliseconds.add(
      report.firstMilliseconds + report.streamMilliseconds,
    );
    if (!turn.hasFreeSlot) return;
    const ratio = turn.upstream.rate.findRatio(this.rate, now);
    this.#prompts.observe(
      turn.processedTokens,
      report.firstMilliseconds / ratio,
    );
  }

  #updateMedian(now: number): void {
    if (now - this.#medianAt < MEDIAN_INTERVAL_MILLISECONDS) return;
    this.#medianAt = now;
    if (this.#sorted.length < this.upstreams.length) {
      this.#sorted = new Float64Array(this.upstreams.length);
    }
    let count = 0;
    for (const { rate } of this.upstreams) {
      if (rate.findWeight(now) < MIN_MEDIAN_WEIGHT) continue;
      this.#sorted[count] = rate.logMilliseconds;
      count++;
    }
    if (count === 0) return;
    const sorted = this.#sorted.subarray(0, count).sort();
    this.#logMilliseconds = sorted[Math.floor(count / 2)] as number;
  }
}

/** Exponential moving mean that begins as the plain mean. */
class MovingMean {
  mean = 0;
  count = 0;

  add(value: number): void {
    this.count++;
    this.mean += (value - this.mean) *
      Math.max(NEWEST_WEIGHT, 1 / this.count);
  }
}
