/** Commands of the replicated state of a site, and their results. */

import type {
  EndTurn,
  PutDocumentPart,
  QuotaGrant,
  ResultCodeName,
  TakePermits,
  TurnReservation,
} from "@mallowlift/core";
import type { UnpackedDocument } from "./packed_document.ts";

/** Puts a routing document in force; occurs only in logs of earlier releases. */
export interface DocumentCommand extends UnpackedDocument {
  readonly kind: "document";
}

/**
 * Adds a part of a routing document. The complete document is put in force if
 * its version is the highest.
 */
export interface DocumentPartCommand extends PutDocumentPart {
  readonly kind: "documentPart";
}

/** Reserves tokens for a turn. */
export interface BeginCommand extends TurnReservation {
  readonly kind: "begin";
  /** Site time, ms; it does not advance while there is no leader. */
  readonly at: number;
}

/** Settles the reservation of a turn, and keeps the turn if it completed. */
export interface EndCommand extends EndTurn {
  readonly kind: "end";
  /** Site time, ms. */
  readonly at: number;
}

/** Takes quota permits for requests of workspaces. */
export interface ChargeCommand extends TakePermits {
  readonly kind: "charge";
  /** Site time, ms. */
  readonly at: number;
}

/** Marks a store as retiring. */
export interface RetireCommand {
  readonly kind: "retire";
  readonly name: string;
  /** Incarnation of its data folder, since a new store may get the same name later. */
  readonly incarnation: string;
}

/** Changes nothing; its commit proves that the leader's state is current. */
export interface ReadCommand {
  readonly kind: "read";
}

/** A command in the log of the site. */
export type SiteCommand =
  | DocumentCommand
  | DocumentPartCommand
  | BeginCommand
  | EndCommand
  | ChargeCommand
  | RetireCommand
  | ReadCommand;

/** Result of applying a command. */
export interface SiteResult {
  readonly code: ResultCodeName;
  /** Time after which to retry a refused command, if known, ms. */
  readonly retryAfterMilliseconds?: number;
  /** True if a turn was charged to a quota. */
  readonly isCharged?: boolean;
  /** Permits that the command was granted. */
  readonly grants?: readonly QuotaGrant[];
}
