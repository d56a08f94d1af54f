/** Lets those who ask for the same while it is under way share one command. */

/** How a command ended, and for whom. */
export interface SharedEnd {
  /** How often it was asked for. */
  readonly asks: number;
  /** True if everybody who asked had given up before it was decided. */
  readonly isUnheard: boolean;
}

/** How a command is made if none is under way, and who hears of its end. */
export interface CommandOptions<T> {
  readonly propose: () => Promise<T>;
  /** Called once, by whoever made the command. */
  readonly onEnd?: (outcome: T, end: SharedEnd) => void;
}

interface SharedCommand<T> {
  readonly done: Promise<T>;
  readonly askers: AbortSignal[];
}

/**
 * Commands under way by what they ask for. Asking again must not make the log
 * longer, or a leader that is slower than its askers wait gets slower still.
 *
 * @example
 * ```ts
 * const shared = new SharedCommands<string>();
 * const first = shared.ask("begin turn-7", signal, { propose });
 * const again = shared.ask("begin turn-7", signal, { propose });
 * // `propose` was called once, and both promises get its outcome.
 * ```
 */
export class SharedCommands<T> {
  readonly #underWay = new Map<string, SharedCommand<T>>();

  /** Joins the command that is under way under this key, or makes one. */
  async ask(
    key: string,
    asker: AbortSignal,
    options: CommandOptions<T>,
  ): Promise<T> {
    const known = this.#underWay.get(key);
    if (known !== undefined) {
      known.askers.push(asker);
      return await known.done;
    }
    const command: SharedCommand<T> = {
      done: options.propose(),
      askers: [asker],
    };
    this.#underWay.set(key, command);
    const outcome = await command.done;
    this.#underWay.delete(key);
    const { askers } = command;
    options.onEnd?.(outcome, {
      asks: askers.length,
      isUnheard: askers.every((signal) => signal.aborted),
    });
    return outcome;
  }
}
