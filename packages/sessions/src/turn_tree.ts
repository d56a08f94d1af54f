/** The kept turns as a forest: each turn continues at most one other turn. */

import {
  type EndTurn,
  hasScope,
  scopeId,
  splitScopedId,
  type TurnRecord,
} from "@mallowlift/core";
import { FormerIds } from "./former_ids.ts";

/** A kept turn with its expiry time. */
export interface StoredTurn extends TurnRecord {
  /** Site time, ms. */
  readonly expiresAt: number;
  /**
   * Scope of the workspace that has gone on from a turn of the time without workspaces;
   * missing if none has.
   */
  readonly owner?: string;
}

type MutableTurn = TurnRecord & {
  expiresAt: number;
  owner: string | undefined;
  /**
   * Length of the inputs and outputs of the whole chain, bytes; undefined if a turn
   * of it is missing.
   */
  readonly chainBytes: number | undefined;
};

/**
 * The turns of all programs. No turn expires before one that continues it, so that a
 * chain which was whole when its last turn was kept stays whole.
 */
export class TurnTree {
  readonly #turns = new Map<string, MutableTurn>();
  readonly #formerIds = new FormerIds(this.#turns);

  /** Number of kept turns. */
  get size(): number {
    return this.#turns.size;
  }

  /** True if a turn is kept. */
  has(turnId: string): boolean {
    return this.#find(turnId) !== undefined;
  }

  /** Returns the upstream that ran a kept turn; empty if unknown. */
  findUpstream(turnId: string): string {
    return this.#find(turnId)?.upstream ?? "";
  }

  /**
   * Keeps a turn, and extends the retention of the turns before it accordingly. If one
   * of them is missing, the turn is kept as one that cannot be continued.
   *
   * @returns true if the whole chain is kept
   */
  keep(turn: EndTurn, at: number): boolean {
    const known = this.#turns.get(turn.turnId);
    if (known !== undefined) return known.chainBytes !== undefined;
    const expiresAt = at + turn.retentionMilliseconds;
    const { turnId, input, output, upstream } = turn;
    const previousId = this.#find(turn.previousId)?.turnId ?? turn.previousId;
    const kept = { turnId, previousId, input, output, upstream, expiresAt };
    const { chainBytes } = this.#set(kept);
    this.extendRetention(previousId, expiresAt);
    return chainBytes !== undefined;
  }

  /**
   * Gives a turn and those before it to the workspace that goes on from it, so that no
   * other one can, if they were kept while there were no workspaces.
   */
  claim(turnId: string): void {
    const { scope } = splitScopedId(turnId);
    if (scope === "") return;
    let turn = this.#find(turnId);
    while (turn !== undefined) {
      if (!hasScope(turn.turnId)) turn.owner = scope;
      turn = this.#turns.get(turn.previousId);
    }
  }

  /** Keeps a turn and those before it at least until a site time, ms. */
  extendRetention(turnId: string, expiresAt: number): void {
    let turn = this.#find(turnId);
    while (turn !== undefined && turn.expiresAt < expiresAt) {
      turn.expiresAt = expiresAt;
      turn = this.#turns.get(turn.previousId);
    }
  }

  /** True if a turn and those before it are kept until a site time, ms. */
  isKeptUntil(turnId: string, at: number): boolean {
    const turn = this.#find(turnId);
    return turn?.chainBytes !== undefined && turn.expiresAt >= at;
  }

  /**
   * Returns the length of the inputs and outputs of a turn and of all before it, bytes;
   * 0 without a turn, undefined if one of them is missing.
   */
  measureChain(turnId: string): number | undefined {
    return turnId === "" ? 0 : this.#find(turnId)?.chainBytes;
  }

  /**
   * Returns a turn and those before it, newest first, down to a turn that is already
   * known to the caller; undefined if one of them is missing. All have ids with the
   * scope of the caller.
   */
  listChain(
    turnId: string,
    known: ReadonlySet<string> = new Set(),
  ): readonly TurnRecord[] | undefined {
    if (turnId === "" || known.has(turnId)) return [];
    const { scope } = splitScopedId(turnId);
    const chain: TurnRecord[] = [];
    let turn = this.#find(turnId);
    while (turn !== undefined) {
      const record = createRecord(turn, scope);
      if (known.has(record.turnId)) return chain;
      chain.push(record);
      if (turn.previousId === "") return chain;
      turn = this.#turns.get(turn.previousId);
    }
    return undefined;
  }

  /** Drops expired turns. */
  sweep(at: number): void {
    for (const [turnId, turn] of this.#turns) {
      if (turn.expiresAt >= at) continue;
      this.#turns.delete(turnId);
      this.#formerIds.delete(turnId);
    }
  }

  /**
   * Returns copies of all turns for a snapshot that is encoded while later
   * commands are applied. Without copies, an expiry time that is extended
   * meanwhile could enter the snapshot for a turn but not for the one before it,
   * and the chain would break when the commands are applied to the snapshot.
   */
  store(): readonly StoredTurn[] {
    const stored: StoredTurn[] = [];
    for (const turn of this.#turns.values()) stored.push(copyTurn(turn));
    return stored;
  }

  /**
   * Replaces all turns by those of a snapshot, which lists each turn after the one that
   * it continues.
   */
  restore(turns: readonly StoredTurn[]): void {
    this.#turns.clear();
    this.#formerIds.clear();
    for (const turn of turns) this.#set(copyTurn(turn));
  }

  /** Finds a turn, also by the id that it has since workspaces came or went. */
  #find(turnId: string): MutableTurn | undefined {
    const turn = this.#turns.get(turnId);
    if (turn !== undefined) return turn;
    const former = this.#turns.get(this.#formerIds.find(turnId) ?? "");
    const { scope } = splitScopedId(turnId);
    return former !== undefined && this.#isOpenTo(former, scope)
      ? former
      : undefined;
  }

  /** True if no other workspace has gone on from a turn or from one before it. */
  #isOpenTo(latest: MutableTurn, scope: string): boolean {
    if (scope === "") return true;
    let turn: MutableTurn | undefined = latest;
    while (turn !== undefined) {
      const owner: string = turn.owner ?? splitScopedId(turn.turnId).scope;
      if (owner !== "" && owner !== scope) return false;
      turn = this.#turns.get(turn.previousId);
    }
    return true;
  }

  /** Adds a turn; copies field by field, as an object that is spread takes more memory. */
  #set(turn: StoredTurn): MutableTurn {
    const { turnId, previousId, input, output, upstream, expiresAt, owner } =
      turn;
    const before = this.measureChain(previousId);
    const chainBytes = before === undefined
      ? undefined
      : before + input.length + output.length;
    const kept: MutableTurn = {
      turnId,
      previousId,
      input,
      output,
      upstream,
      expiresAt,
      owner,
      chainBytes,
    };
    this.#turns.set(turnId, kept);
    this.#formerIds.add(turnId);
    return kept;
  }
}

/** The content of a turn with ids as a workspace knows them. */
function createRecord(turn: MutableTurn, scope: string): TurnRecord {
  const { input, output, upstream } = turn;
  const turnId = changeScope(turn.turnId, scope);
  const previousId = changeScope(turn.previousId, scope);
  return { turnId, previousId, input, output, upstream };
}

function changeScope(id: string, scope: string): string {
  return scopeId(scope, splitScopedId(id).plainId);
}

/** Copies field by field, as spreading properties takes several times as long. */
function copyTurn(turn: StoredTurn): StoredTurn {
  const { turnId, previousId, input, output, upstream, expiresAt, owner } =
    turn;
  const copy = { turnId, previousId, input, output, upstream, expiresAt };
  return owner === undefined ? copy : { ...copy, owner };
}
