/** A state machine for tests: the list of all commands. */

import { decode, encode } from "cbor-x";
import type { StateMachine } from "../group/state_machine.ts";

/** A command that its proposer may have to propose again, each time as another attempt. */
export interface ListCommand {
  readonly name: string;
  readonly attempt: number;
}

/**
 * A state machine that remembers every command in order. A proposer that lost
 * its leader does not know whether its attempt counts and proposes again, so
 * a further attempt at a known command changes nothing. The same attempt
 * twice is a fault of the log, which the list shows.
 */
export class ListMachine implements StateMachine {
  commands: string[] = [];
  /** How often a state took the place of the earlier one, the first included. */
  restores = 0;
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
    this.restores++;
    const [commands, attempts] = snapshot.length === 0
      ? [[], []]
      : decode(snapshot) as [string[], string[]];
    this.commands = commands;
    this.#attempts = new Set(attempts);
  }
}
