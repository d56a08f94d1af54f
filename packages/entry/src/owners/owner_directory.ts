/** Finds the leader of a group, and asks again when there is a new one. */

import {
  fail,
  type HandlerName,
  type InternalHandlers,
  type Metrics,
  type Outcome,
  RESULT_CODES,
  type ResultCode,
  sleep,
} from "@mallowlift/core";
import type { Caller, CallOptions } from "@mallowlift/transport";

const ASK_AGAIN_MILLISECONDS = 30;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Answers after which another replica may lead. */
const LOOK_ON: readonly ResultCode[] = [
  RESULT_CODES.NOT_LEADER,
  RESULT_CODES.LEADERSHIP_LOST,
  RESULT_CODES.NOT_CONNECTED,
  RESULT_CODES.CONNECTION_LOST,
  RESULT_CODES.TIMEOUT,
];

/** Answers after which the request has certainly not been taken up. */
const NOT_TAKEN: readonly ResultCode[] = [
  RESULT_CODES.NOT_LEADER,
  RESULT_CODES.NOT_CONNECTED,
];

/** Remembers which replica led each group. */
export class OwnerDirectory {
  readonly #replicas: readonly Caller[];
  readonly #waitMilliseconds: number;
  readonly #metrics: Metrics;
  readonly #leaders = new Map<number, number>();

  constructor(
    replicas: readonly Caller[],
    options: { readonly waitMilliseconds: number; readonly metrics: Metrics },
  ) {
    this.#replicas = replicas;
    this.#waitMilliseconds = options.waitMilliseconds;
    this.#metrics = options.metrics;
  }

  /** All replicas. */
  get replicas(): readonly Caller[] {
    return this.#replicas;
  }

  /**
   * Calls the leader of a group. Every method called this way is idempotent
   * by an id in its request, so it may be sent again to the next leader.
   *
   * @returns NO_LEADER if nobody took the request up, OWNER_LOST if somebody
   * may have
   */
  async call<N extends HandlerName>(
    group: number,
    message: {
      readonly name: N;
      createRequest(): InternalHandlers[N]["request"];
    },
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    let lookingSince = Date.now();
    let mayBeTaken = false;
    let position = this.#leaders.get(group) ?? group;
    while (Date.now() - lookingSince < this.#waitMilliseconds) {
      const replica = this.#replicas[position % this.#replicas.length];
      if (replica === undefined) break;
      const sentAt = Date.now();
      const outcome = await replica.call(
        message.name,
        message.createRequest(),
        options,
      );
      if (outcome.ok || !LOOK_ON.includes(outcome.val.code)) {
        this.#leaders.set(group, position);
        return outcome;
      }
      if (options.signal?.aborted) break;
      const code = outcome.val.code;
      this.#metrics.retries.inc({ part: "entry", reason: code.name });
      if (!NOT_TAKEN.includes(code)) mayBeTaken = true;
      // A leader that held the request for long was found, so the search starts anew.
      if (Date.now() - sentAt > this.#waitMilliseconds) {
        lookingSince = Date.now();
      }
      position++;
      await sleep(ASK_AGAIN_MILLISECONDS, options.signal);
    }
    if (mayBeTaken) {
      return fail(
        RESULT_CODES.OWNER_LOST,
        "The owner was lost while it had the request",
        RETRY_AFTER_MILLISECONDS,
      );
    }
    return fail(
      RESULT_CODES.NO_LEADER,
      "No leader answered",
      RETRY_AFTER_MILLISECONDS,
    );
  }
}
