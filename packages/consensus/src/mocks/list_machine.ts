/** A state machine for tests, which lists all commands. */

import { decode, encode } from "cbor-x";
import type { StateMachine } from "../group/state_machine.ts";

/** A command. Each retry by its proposer has another attempt number. */
export interface ListCommand {
  readonly name: string;
  readonly attempt: number;
}

/**
 * A state machine that records every command in order. A proposer that loses
 * its leader does not know whether its attempt was committed and retries, so
 * another attempt at a known command changes nothing. If the same attempt is
 * applied twice, the log is at fault, and the list shows it.
 */
export class ListMachine implements StateMachine {
  commands: string[] = [];
  /** Number of restored states, the first included. */
  restoreCount = 0;
  #attempts = new Set<string>();

  apply(command: unknown): unknown {
    const { name, attempt } = command as ListCommand;
    const key = `${name} ${attempt}`;
    if (this.#attempts.has(key)) this.commands.push(`applied twice: ${key}`);
    else if (!this.commands.includes(name)) this.commands.push(name);
    this.#attempts.add(key);
    return this.commands.length;
  }

  takeSnapshot(): readonly Uint8Array[] {
    return [encode([this.commands, [...this.#attempts]])];
  }

  restore(snapshot: Uint8Array): void {
    this.restoreCount++;
    const [commands, attempts] = snapshot.length === 0
      ? [[], []]
      : decode(snapshot) as [string[], string[]];
    this.commands = commands;
    this.#attempts = new Set(attempts);
  }
}
