/** The replicated state of one program group. */

import { decode, encode } from "cbor-x";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import { Ok } from "ts-results";
import {
  acceptCall,
  dispatchCall,
  endCall,
  withdrawCall,
} from "./call_commands.ts";
import type { ForgetProgram, ProgramCommand } from "./commands.ts";
import { createProgram, endProgram, hasTreeEnded } from "./program_commands.ts";
import type { CallRecord, ProgramRecord } from "./program_records.ts";

interface StoredProgram extends Omit<ProgramRecord, "calls"> {
  readonly calls: readonly CallRecord[];
}

/** The programs of one group by id. */
export class ProgramState {
  #programs = new Map<string, ProgramRecord>();
  readonly #find = (programId: string) => this.#programs.get(programId);

  /** Number of programs, including ended ones. */
  get size(): number {
    return this.#programs.size;
  }

  /** All programs. */
  get programs(): Iterable<ProgramRecord> {
    return this.#programs.values();
  }

  /** Returns a program, or undefined if it does not exist. */
  find(programId: string): ProgramRecord | undefined {
    return this.#programs.get(programId);
  }

  /** Returns a program if it exists and belongs to the outfit. */
  findOwned(programId: string, outfit: string): ProgramRecord | undefined {
    const program = this.#programs.get(programId);
    return program?.spec.outfit === outfit ? program : undefined;
  }

  /** Applies a committed command. */
  apply(command: unknown): Outcome<ProgramRecord> | Outcome<CallRecord> {
    const known = command as ProgramCommand;
    if (known.type === "accept_call") return acceptCall(known, this.#find);
    if (known.type === "dispatch_call") return dispatchCall(known, this.#find);
    if (known.type === "end_call") return endCall(known, this.#find);
    if (known.type === "withdraw_call") return withdrawCall(known, this.#find);
    if (known.type === "end_program") return endProgram(known, this.#find);
    if (known.type === "forget_program") return this.#forgetProgram(known);
    const created = createProgram(known, this.#find);
    if (created.ok) this.#programs.set(created.val.programId, created.val);
    return created;
  }

  /** Serializes the state. */
  takeSnapshot(): readonly Uint8Array[] {
    const stored: StoredProgram[] = [];
    for (const program of this.#programs.values()) {
      stored.push({ ...program, calls: [...program.calls.values()] });
    }
    return [encode(stored)];
  }

  /**
   * Replaces the state with a serialized one. An empty snapshot gives an empty
   * state.
   */
  restore(snapshot: Uint8Array): void {
    this.#programs = new Map();
    if (snapshot.length === 0) return;
    for (const stored of decode(snapshot) as StoredProgram[]) {
      const calls = new Map<string, CallRecord>();
      for (const call of stored.calls) calls.set(call.requestId, call);
      this.#programs.set(stored.programId, { ...stored, calls });
    }
  }

  #forgetProgram(command: ForgetProgram): Outcome<ProgramRecord> {
    const program = this.#programs.get(command.programId);
    if (program === undefined || !hasTreeEnded(program, this.#find)) {
      return fail(
        RESULT_CODES.PROGRAM_NOT_FOUND,
        "The program does not exist or has not ended",
      );
    }
    this.#removeTree(program);
    return Ok(program);
  }

  #removeTree(program: ProgramRecord): void {
    this.#programs.delete(program.programId);
    for (const childId of program.children) {
      const child = this.#programs.get(childId);
      if (child !== undefined) this.#removeTree(child);
    }
  }
}
