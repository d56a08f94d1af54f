/** Records of the callers of a soak: their programs, calls and violations. */

import type { ChatMessage } from "@mallowlift/core";

/** One call with its final result, as its caller received it. */
export interface CallRecord {
  readonly requestId: string;
  readonly kind: "model" | "write" | "read";
  /** Name of the final result code. */
  readonly code: string;
  /** True if the call was refused as not run. */
  readonly notRun: boolean;
  /** Number of the turn, from 1; 0 if the call was refused. */
  readonly turn: number;
  /** Digest of the history after the turn; empty if the call was refused. */
  readonly digest: string;
}

/** One program, as its caller recorded it. */
export interface ProgramRecord {
  readonly outfit: string;
  readonly program: string;
  /** Token budget. */
  readonly budget: number;
  /** Messages and answers of the history that the caller expects. */
  readonly conversation: ChatMessage[];
  readonly calls: CallRecord[];
  /** True if the end of the program was acknowledged. */
  ended: boolean;
}

/** One violation of a promise. */
export interface Violation {
  readonly invariant: string;
  readonly details: string;
}

/** Collects programs, violations and counts of events. */
export class SoakRecords {
  readonly programs: ProgramRecord[] = [];
  readonly violations: Violation[] = [];
  /** Number of events, by name. */
  readonly counts = new Map<string, number>();

  /** Records a violation of a promise. */
  fail(invariant: string, details: string): void {
    this.violations.push({ invariant, details });
  }

  /** Counts an event by name. */
  count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Number of calls that have a final result. */
  get callCount(): number {
    return this.programs.reduce(
      (sum, program) => sum + program.calls.length,
      0,
    );
  }
}
