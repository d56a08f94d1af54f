/** Identifies the commands that a leader proposes, and ranks them. */

import { URGENCIES, type Urgency } from "@mallowlift/consensus";
import type {
  BeginTurn,
  EndTurn,
  RequestPrecedence,
  TakePermits,
} from "@mallowlift/core";
import { findRequestOrder } from "@mallowlift/scheduling";
import type { SiteCommand, SiteState } from "@mallowlift/sessions";

/** A command as a gateway requests it. */
export type RequestedCommand =
  | { readonly kind: "begin" } & BeginTurn
  | { readonly kind: "end" } & EndTurn
  | { readonly kind: "charge" } & TakePermits;

/** The part of a command that identifies it. */
type KeyedCommand =
  | SiteCommand
  | RequestedCommand
  | {
    readonly kind: "begin";
    readonly programId: string;
    readonly turnId: string;
  };

/**
 * Returns the key that a retry of a command has in common with the original.
 *
 * @example
 * ```ts
 * createDeduplicationKey({ kind: "begin", programId: "p", turnId: "t" }); // "begin p t"
 * ```
 */
export function createDeduplicationKey(command: KeyedCommand): string {
  if (command.kind === "begin" || command.kind === "end") {
    return `${command.kind} ${command.programId} ${command.turnId}`;
  }
  if (command.kind === "charge") return `charge ${command.id}`;
  if (command.kind === "documentPart") {
    return `part ${command.digest} ${command.offset}`;
  }
  return command.kind === "retire" ? `retire ${command.name}` : "read";
}

/**
 * Ends of turns have the highest urgency, then programs that have started, then
 * new programs: a program that is refused at its start has cost nothing yet.
 */
export function findUrgency(
  command: SiteCommand | RequestedCommand,
  state: SiteState,
): Urgency {
  if (command.kind === "charge") return URGENCIES.CONTINUE;
  if (command.kind !== "begin") return URGENCIES.FINISH;
  const isStarted = command.previousId !== "" ||
    state.budgets.has(command.programId);
  return isStarted ? URGENCIES.CONTINUE : URGENCIES.START;
}

/** Precedence of requests whose gateway or kind tells none. */
const DEFAULT_PRECEDENCE: RequestPrecedence = { priority: 0, isLate: false };

/** Returns the precedence of a command; the highest if it is not told. */
export function findPrecedence(command: RequestedCommand): RequestPrecedence {
  if (command.kind === "charge") return DEFAULT_PRECEDENCE;
  return command.precedence ?? DEFAULT_PRECEDENCE;
}

/** Returns the order in which a waiting request is started. */
export function findQueueOrder(
  command: RequestedCommand,
  state: SiteState,
): number {
  return findRequestOrder(findUrgency(command, state), findPrecedence(command));
}
