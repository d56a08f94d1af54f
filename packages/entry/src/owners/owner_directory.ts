/** Finds the leader of each group and retries requests when it changes. */

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
import type { CallOptions, PeerClient } from "@mallowlift/transport";
import { DRAINING_ERROR, STOPPING } from "../http/open_requests.ts";

const RETRY_DELAY_MILLISECONDS = 30;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Result codes after which another replica may be the leader. */
const NEXT_REPLICA_CODES: readonly ResultCode[] = [
  RESULT_CODES.NOT_LEADER,
  RESULT_CODES.LEADERSHIP_LOST,
  RESULT_CODES.NOT_CONNECTED,
  RESULT_CODES.CONNECTION_LOST,
  RESULT_CODES.TIMEOUT,
];

/** Result codes that rule out that the replica accepted the request. */
const NOT_ACCEPTED_CODES: readonly ResultCode[] = [
  RESULT_CODES.NOT_LEADER,
  RESULT_CODES.NOT_CONNECTED,
];

/** Methods that change nothing, so that an unanswered request has no effect. */
const READING_METHODS: readonly HandlerName[] = [
  "configuration.poll",
  "programs.history",
  "programs.read",
];

/** Caches which replica leads each group and forwards requests to it. */
export class OwnerDirectory {
  readonly #replicas: readonly PeerClient[];
  readonly #waitMilliseconds: number;
  readonly #metrics: Metrics;
  readonly #leaders = new Map<number, number>();

  constructor(
    replicas: readonly PeerClient[],
    options: { readonly waitMilliseconds: number; readonly metrics: Metrics },
  ) {
    this.#replicas = replicas;
    this.#waitMilliseconds = options.waitMilliseconds;
    this.#metrics = options.metrics;
  }

  /** All replicas. */
  get replicas(): readonly PeerClient[] {
    return this.#replicas;
  }

  /**
   * Calls the leader of a group. Every method called this way is idempotent by
   * an id in its request, so the request can be retried at the next leader.
   *
   * @returns NO_LEADER if no replica accepted the request, OWNER_LOST if one may
   * have; if the signal aborts, CANCELLED, or for a stop of this entry DRAINING or
   * OWNER_LOST
   */
  async call<N extends HandlerName>(
    group: number,
    message: {
      readonly name: N;
      createRequest(): InternalHandlers[N]["request"];
    },
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    let searchStartedAt = Date.now();
    let mayBeAccepted = false;
    let replicaIndex = this.#leaders.get(group) ?? group;
    while (Date.now() - searchStartedAt < this.#waitMilliseconds) {
      const replica = this.#replicas[replicaIndex % this.#replicas.length];
      if (replica === undefined) break;
      const sentAt = Date.now();
      const outcome = await replica.call(
        message.name,
        message.createRequest(),
        options,
      );
      const { signal } = options;
      if (outcome.err && signal?.aborted) {
        const isSent = !NOT_ACCEPTED_CODES.includes(outcome.val.code);
        return failAborted(message.name, signal, mayBeAccepted || isSent);
      }
      if (outcome.ok || !NEXT_REPLICA_CODES.includes(outcome.val.code)) {
        this.#leaders.set(group, replicaIndex);
        return outcome;
      }
      const code = outcome.val.code;
      this.#metrics.retries.inc({ part: "entry", reason: code.name });
      if (!NOT_ACCEPTED_CODES.includes(code)) mayBeAccepted = true;
      // A replica that held the request this long was the leader, so the time
      // of the search starts again.
      if (Date.now() - sentAt > this.#waitMilliseconds) {
        searchStartedAt = Date.now();
      }
      replicaIndex++;
      await sleep(RETRY_DELAY_MILLISECONDS, signal);
      if (signal?.aborted) {
        return failAborted(message.name, signal, mayBeAccepted);
      }
    }
    if (mayBeAccepted) {
      return fail(
        RESULT_CODES.OWNER_LOST,
        "The owner was lost after it may have accepted the request",
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

/** Returns the error of a request that its caller or a stop of this entry ended. */
function failAborted(
  name: HandlerName,
  signal: AbortSignal,
  mayBeAccepted: boolean,
): Outcome<never> {
  if (signal.reason !== STOPPING) {
    return fail(RESULT_CODES.CANCELLED, "The caller disconnected");
  }
  const changesNothing = READING_METHODS.includes(name);
  if (!mayBeAccepted || changesNothing) {
    const { code, message, retryAfterMilliseconds } = DRAINING_ERROR;
    return fail(code, message, retryAfterMilliseconds);
  }
  return fail(
    RESULT_CODES.OWNER_LOST,
    "This entry stops; the owner may have accepted the request",
    RETRY_AFTER_MILLISECONDS,
  );
}
