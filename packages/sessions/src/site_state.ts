/** The replicated state of a site: routing document, turns, budgets, quotas, retirements. */

import type { PackedDocument, PutDocumentPart } from "@mallowlift/core";
import { Budgets } from "./budgets.ts";
import { DocumentUploads } from "./document_uploads.ts";
import { Quotas } from "./quotas.ts";
import {
  packEarlierDocument,
  type UnpackedDocument,
} from "./packed_document.ts";
import type {
  BeginCommand,
  ChargeCommand,
  EndCommand,
  SiteCommand,
  SiteResult,
} from "./site_commands.ts";
import { decodeSiteSnapshot, encodeSiteSnapshot } from "./site_snapshot.ts";
import { TurnTree } from "./turn_tree.ts";

/**
 * Interval of sweeps, ms of site time; expiry need not be exact. Sweeps are due at
 * multiples of it, so that a state that was restored in between sweeps with the same
 * command as all others.
 */
const SWEEP_INTERVAL_MILLISECONDS = 2_000;
/**
 * Time for which a turn is kept beyond its retention, ms: callers count the
 * retention from when they receive the end of the turn, which is after its
 * commit. The history of an open turn is kept for as long beyond the deadline of
 * the turn, whose end may be committed after it.
 */
const RETENTION_GRACE_MILLISECONDS = 10_000;
/**
 * Number of documents kept, including the one in force. A slow reader of an
 * earlier version can finish it; otherwise it would restart with each change and
 * might never complete.
 */
const MAX_RECENT_DOCUMENTS = 4;

/** The state machine of a site; all stores that apply the same entries agree. */
export class SiteState {
  readonly turns = new TurnTree();
  readonly budgets = new Budgets();
  readonly quotas = new Quotas();
  /** Incarnations of retiring stores, by name. */
  readonly #retiring = new Map<string, string>();
  readonly #uploads = new DocumentUploads();
  /** The document in force and the ones before it, newest first. */
  #documents: readonly PackedDocument[] = [];
  #time = 0;
  /** Called when another document is put in force. */
  onDocument: () => void = () => undefined;

  /** Version of the document in force; -1 if there is none. */
  get documentVersion(): number {
    return this.#documents[0]?.version ?? -1;
  }

  /** Returns the document of a version if it is still kept, else the one in force. */
  findDocument(version: number): PackedDocument | undefined {
    return this.#documents.find((document) => document.version === version) ??
      this.#documents[0];
  }

  /** Returns the bytes received of an unfinished upload. */
  findHeldBytes(digest: string): number {
    return this.#uploads.findHeldBytes(digest);
  }

  /** Site time: the highest time of all applied commands, ms. */
  get time(): number {
    return this.#time;
  }

  /** Incarnations of retiring stores, by name. */
  get retiring(): ReadonlyMap<string, string> {
    return this.#retiring;
  }

  /** Applies a command of the log. */
  apply(command: unknown): SiteResult {
    return this.#applyCommand(command as SiteCommand);
  }

  /**
   * True if the kept state proves that a command would change nothing, for
   * example because it has been applied before.
   */
  isRedundant(command: SiteCommand): boolean {
    if (command.kind === "documentPart") return this.#isRedundantPart(command);
    if (command.kind !== "begin" && command.kind !== "end") return false;
    const { programId, turnId } = command;
    if (programId === "") return false;
    if (command.kind === "begin") {
      return this.budgets.hasReserved(programId, turnId) &&
        this.#isHistoryHeld(command);
    }
    return this.budgets.hasSettled(programId, turnId) &&
      (!command.whole || command.retentionMilliseconds === 0 ||
        this.turns.measureChain(turnId) !== undefined);
  }

  /**
   * Serializes the current state into parts that are created on demand; inputs
   * and outputs of turns are not copied.
   */
  takeSnapshot(): Iterable<Uint8Array> {
    return encodeSiteSnapshot({
      document: this.#documents[0],
      uploads: this.#uploads.store(),
      turns: this.turns.store(),
      budgets: this.budgets.store(),
      quotas: this.quotas.store(),
      retiring: [...this.#retiring],
      time: this.#time,
    });
  }

  /** Replaces the state by a snapshot; an empty snapshot leaves the initial state. */
  restore(snapshot: Uint8Array): void {
    if (snapshot.length === 0) return;
    const stored = decodeSiteSnapshot(snapshot);
    this.turns.restore(stored.turns);
    this.budgets.restore(stored.budgets);
    this.quotas.restore(stored.quotas ?? []);
    this.#retiring.clear();
    for (const [name, incarnation] of stored.retiring) {
      this.#retiring.set(name, incarnation);
    }
    this.#time = stored.time;
    this.#uploads.restore(stored.uploads ?? []);
    this.#documents = [];
    const document = stored.document ?? undefined;
    if (document !== undefined) this.#putInForce(packIfUnpacked(document));
  }

  #applyCommand(command: SiteCommand): SiteResult {
    if (command.kind === "begin") return this.#begin(command);
    if (command.kind === "charge") return this.#charge(command);
    if (command.kind === "end") return this.#end(command);
    if (command.kind === "documentPart") this.#addPart(command);
    if (command.kind === "document") {
      this.#putInForce(packEarlierDocument(command));
    }
    if (command.kind === "retire") {
      this.#retiring.set(command.name, command.incarnation);
    }
    return { code: "OK" };
  }

  #begin(command: BeginCommand): SiteResult {
    this.#advance(command.at);
    const { previousId, programId, turnId, quota } = command;
    if (previousId !== "" && !this.turns.has(previousId)) {
      return { code: "TURN_NOT_FOUND" };
    }
    if (this.turns.measureChain(previousId) === undefined) {
      return { code: "HISTORY_INCOMPLETE" };
    }
    // The quota was charged when the turn was first begun.
    if (this.budgets.hasReserved(programId, turnId)) {
      this.#holdTurn(command);
      return { code: "OK" };
    }
    const wait = quota === undefined
      ? 0
      : this.quotas.findWait(quota, this.#time);
    if (wait > 0) {
      return { code: "QUOTA_EXCEEDED", retryAfterMilliseconds: wait };
    }
    const isReserved = programId === "" ||
      this.budgets.reserve(command, command.at);
    if (!isReserved) return { code: "BUDGET_EXCEEDED" };
    this.#holdTurn(command);
    if (quota === undefined) return { code: "OK" };
    this.quotas.charge({ ...quota, needed: 1, spare: 0 }, this.#time);
    return { code: "OK", isCharged: true };
  }

  /**
   * Keeps the history and the budget of a turn while the turn may be open, and gives the
   * history to its workspace.
   */
  #holdTurn(command: BeginCommand): void {
    const { programId, previousId, openMilliseconds = 0 } = command;
    const until = this.#time + openMilliseconds + RETENTION_GRACE_MILLISECONDS;
    this.turns.claim(previousId);
    this.turns.extendRetention(previousId, until);
    this.budgets.retain(programId, until);
  }

  /** True if the history of a turn is kept while the turn may be open. */
  #isHistoryHeld(command: BeginCommand): boolean {
    const { previousId, openMilliseconds = 0, at } = command;
    return previousId === "" ||
      this.turns.isKeptUntil(previousId, at + openMilliseconds);
  }

  #charge(command: ChargeCommand): SiteResult {
    this.#advance(command.at);
    const grants = command.charges.map((charge) =>
      this.quotas.charge(charge, this.#time)
    );
    return { code: "OK", grants };
  }

  #end(command: EndCommand): SiteResult {
    this.#advance(command.at);
    if (command.programId !== "") {
      this.budgets.settle(command, command.tokens, command.at);
    }
    if (command.whole && command.retentionMilliseconds > 0) {
      const retentionMilliseconds = command.retentionMilliseconds +
        RETENTION_GRACE_MILLISECONDS;
      const turn = { ...command, retentionMilliseconds };
      this.budgets.retain(turn.programId, command.at + retentionMilliseconds);
      const isWhole = this.turns.keep(turn, command.at);
      if (!isWhole) return { code: "HISTORY_INCOMPLETE" };
    }
    if (command.charge === undefined) return { code: "OK" };
    const grant = this.quotas.charge(command.charge, this.#time);
    return { code: "OK", grants: [grant] };
  }

  /** True if a part is superseded or does not begin where the last one ended. */
  #isRedundantPart(request: PutDocumentPart): boolean {
    return request.version <= this.documentVersion ||
      request.offset !== this.#uploads.findHeldBytes(request.digest);
  }

  #addPart(request: PutDocumentPart): void {
    if (request.version <= this.documentVersion) return;
    const complete = this.#uploads.add(request);
    if (complete !== undefined) this.#putInForce(complete);
  }

  #putInForce(document: PackedDocument): void {
    if (document.version <= this.documentVersion) return;
    const recent = this.#documents.slice(0, MAX_RECENT_DOCUMENTS - 1);
    this.#documents = [document, ...recent];
    this.#uploads.dropSuperseded(document.version);
    this.onDocument();
  }

  #advance(at: number): void {
    const sweepsBefore = countDueSweeps(this.#time);
    this.#time = Math.max(this.#time, at);
    if (countDueSweeps(this.#time) === sweepsBefore) return;
    this.turns.sweep(this.#time);
    this.budgets.sweep(this.#time);
    this.quotas.sweep(this.#time);
  }
}

/** Number of sweeps that are due until a site time, ms. */
function countDueSweeps(time: number): number {
  return Math.floor(time / SWEEP_INTERVAL_MILLISECONDS);
}

function packIfUnpacked(
  document: PackedDocument | UnpackedDocument,
): PackedDocument {
  return "bytes" in document ? document : packEarlierDocument(document);
}
