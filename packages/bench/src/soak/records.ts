/** What the callers of a soak know of their own calls. */

import type { ChatMessage } from "@mallowlift/core";

/** One call with its definite end, as its caller saw it. */
export interface CallNote {
  readonly requestId: string;
  readonly kind: "model" | "write" | "read";
  /** Result code name of the definite end. */
  readonly code: string;
  /** True if a refusal said "not run". */
  readonly notRun: boolean;
  readonly turn: number;
  readonly digest: string;
}

/** One program, as its caller saw it. */
export interface ProgramNote {
  readonly outfit: string;
  readonly program: string;
  readonly budget: number;
  /** Prompt and answers that the caller expects the system to keep. */
  readonly conversation: ChatMessage[];
  readonly calls: CallNote[];
  ended: boolean;
}

/** A promise of the system that was seen broken. */
export interface Violation {
  readonly invariant: string;
  readonly details: string;
}

/** Collects what was seen. */
export class SoakRecords {
  readonly programs: ProgramNote[] = [];
  readonly violations: Violation[] = [];
  readonly counts = new Map<string, number>();

  /** Notes a broken promise. */
  violate(invariant: string, details: string): void {
    this.violations.push({ invariant, details });
  }

  /** Counts an event by name. */
  count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Calls with a definite end. */
  get callCount(): number {
    return this.programs.reduce(
      (sum, program) => sum + program.calls.length,
      0,
    );
  }
}
