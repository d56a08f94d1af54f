/** Deduplicates commands in flight: identical requests share one command. */

/** Describes the callers of a command that has ended. */
export interface SharedCommandEnd {
  /** Number of requests that shared the command. */
  readonly requestCount: number;
  /** True if all callers had given up before the command was decided. */
  readonly isAbandoned: boolean;
}

/** How to create a command, and whom to notify when it ends. */
export interface CommandOptions<T> {
  readonly propose: () => Promise<T>;
  /** Called once per command; not called for requests that join it. */
  readonly onEnd?: (outcome: T, end: SharedCommandEnd) => void;
}

interface SharedCommand<T> {
  readonly done: Promise<T>;
  readonly callers: AbortSignal[];
}

/**
 * Commands in flight by their deduplication key. A retry must not add a log
 * entry: otherwise a leader that is slower than its callers' timeouts would be
 * slowed down further by their retries.
 *
 * @example
 * ```ts
 * const shared = new SharedCommands<string>();
 * const first = shared.submit("begin turn-7", signal, { propose });
 * const again = shared.submit("begin turn-7", signal, { propose });
 * // `propose` was called once, and both promises get its outcome.
 * ```
 */
export class SharedCommands<T> {
  readonly #inFlight = new Map<string, SharedCommand<T>>();

  /** True if a command with this key is in flight. */
  has(key: string): boolean {
    return this.#inFlight.has(key);
  }

  /** Joins the command in flight under this key, or creates one. */
  async submit(
    key: string,
    caller: AbortSignal,
    options: CommandOptions<T>,
  ): Promise<T> {
    const pending = this.#inFlight.get(key);
    if (pending !== undefined) {
      pending.callers.push(caller);
      return await pending.done;
    }
    const command: SharedCommand<T> = {
      done: options.propose(),
      callers: [caller],
    };
    this.#inFlight.set(key, command);
    const outcome = await command.done;
    this.#inFlight.delete(key);
    const { callers } = command;
    options.onEnd?.(outcome, {
      requestCount: callers.length,
      isAbandoned: callers.every((signal) => signal.aborted),
    });
    return outcome;
  }
}
