/** The replicated state of a site: routing document, turns, budgets, retirements. */

import type {
  ReplaceDocument,
  ResultCodeName,
  RoutingDocument,
} from "@mallowlift/core";
import { Budgets } from "./budgets.ts";
import type {
  BeginCommand,
  DocumentCommand,
  EndCommand,
  SiteCommand,
  SiteResult,
} from "./site_commands.ts";
import { decodeSiteSnapshot, encodeSiteSnapshot } from "./site_snapshot.ts";
import { TurnTree } from "./turn_tree.ts";

/** Time between two sweeps, ms of the site: expiry need not be exact. */
const SWEEP_MILLISECONDS = 2_000;
/**
 * How much longer than asked a turn is kept, ms: callers count the retention
 * from when they saw the end, which is later than its commit.
 */
const GRACE_MILLISECONDS = 10_000;

/** Driven by the log; the same at every store once the same entries are applied. */
export class SiteState {
  readonly turns = new TurnTree();
  readonly budgets = new Budgets();
  /** Incarnations of stores that are to be emptied, by name. */
  readonly #retiring = new Map<string, string>();
  #document: ReplaceDocument | undefined;
  #time = 0;
  #sweptAt = 0;
  /** Called when another document is in force. */
  onDocument: (document: RoutingDocument) => void = () => undefined;

  /** Version in force; -1 before the first document. */
  get documentVersion(): number {
    return this.#document?.document.version ?? -1;
  }

  /** The document in force with its operator's text. */
  get document(): ReplaceDocument | undefined {
    return this.#document;
  }

  /** Highest time that any command has carried, ms. */
  get time(): number {
    return this.#time;
  }

  /** Incarnations of stores that are to be emptied, by name. */
  get retiring(): ReadonlyMap<string, string> {
    return this.#retiring;
  }

  /** Applies one command of the log. */
  apply(command: unknown): SiteResult {
    return { code: this.#run(command as SiteCommand) };
  }

  /**
   * True if a command has been applied, so that it would change nothing: only
   * where that is certain from what is kept.
   */
  isDecided(command: SiteCommand): boolean {
    if (command.kind !== "begin" && command.kind !== "end") return false;
    const { programId, turnId } = command;
    if (programId === "") return false;
    if (command.kind === "begin") {
      return this.budgets.hasReserved(programId, turnId);
    }
    return this.budgets.hasSettled(programId, turnId) &&
      (!command.whole || command.retentionMilliseconds === 0 ||
        this.turns.has(turnId));
  }

  /**
   * Serializes everything as it is now, in parts that are made as they are
   * asked for; inputs and outputs of turns are not copied.
   */
  takeSnapshot(): Iterable<Uint8Array> {
    return encodeSiteSnapshot({
      document: this.#document,
      turns: this.turns.store(),
      budgets: this.budgets.store(),
      retiring: [...this.#retiring],
      time: this.#time,
    });
  }

  /** Replaces everything by a snapshot; an empty one is the first state. */
  restore(snapshot: Uint8Array): void {
    if (snapshot.length === 0) return;
    const stored = decodeSiteSnapshot(snapshot);
    this.turns.restore(stored.turns);
    this.budgets.restore(stored.budgets);
    this.#retiring.clear();
    for (const [name, incarnation] of stored.retiring) {
      this.#retiring.set(name, incarnation);
    }
    this.#time = stored.time;
    this.#document = stored.document ?? undefined;
    if (this.#document !== undefined) this.onDocument(this.#document.document);
  }

  #run(command: SiteCommand): ResultCodeName {
    if (command.kind === "begin") return this.#begin(command);
    if (command.kind === "end") return this.#end(command);
    if (command.kind === "document") return this.#replaceDocument(command);
    if (command.kind === "retire") {
      this.#retiring.set(command.name, command.incarnation);
    }
    return "OK";
  }

  #begin(command: BeginCommand): ResultCodeName {
    this.#advance(command.at);
    const { previousId } = command;
    if (previousId !== "" && !this.turns.has(previousId)) {
      return "TURN_NOT_FOUND";
    }
    if (command.programId === "") return "OK";
    const reserved = this.budgets.reserve(command, command.at);
    return reserved ? "OK" : "BUDGET_EXCEEDED";
  }

  #end(command: EndCommand): ResultCodeName {
    this.#advance(command.at);
    if (command.programId !== "") {
      this.budgets.settle(command, command.tokens, command.at);
    }
    if (!command.whole || command.retentionMilliseconds === 0) return "OK";
    const retentionMilliseconds = command.retentionMilliseconds +
      GRACE_MILLISECONDS;
    this.turns.keep({ ...command, retentionMilliseconds }, command.at);
    return "OK";
  }

  #replaceDocument(command: DocumentCommand): ResultCodeName {
    const { document, source } = command;
    if (document.version <= this.documentVersion) return "OK";
    this.#document = { document, source };
    this.onDocument(document);
    return "OK";
  }

  #advance(at: number): void {
    this.#time = Math.max(this.#time, at);
    if (at - this.#sweptAt < SWEEP_MILLISECONDS) return;
    this.#sweptAt = at;
    this.turns.sweep(at);
    this.budgets.sweep(at);
  }
}
