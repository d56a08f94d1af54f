/** Sends calls to stores and to their current leader. */

import { performance } from "node:perf_hooks";
import {
  fail,
  type HandlerName,
  type InternalHandlers,
  type Outcome,
  RESULT_CODES,
  ROLES,
  WakeSignal,
} from "@mallowlift/core";
import type { Directory } from "@mallowlift/membership";
import type { PeerLinks } from "@mallowlift/transport";

/** Result codes after which a retry may reach a leader. */
const RETRYABLE_CODES: ReadonlySet<string> = new Set([
  "NOT_LEADER",
  "NOT_CONNECTED",
  "CONNECTION_LOST",
  "LEADERSHIP_LOST",
  "TIMEOUT",
  "UNKNOWN_METHOD",
]);

/** Result codes after which the leader may still have executed the request. */
const UNCERTAIN_CODES: ReadonlySet<string> = new Set([
  "CONNECTION_LOST",
  "LEADERSHIP_LOST",
  "TIMEOUT",
]);

/** Result codes of failures without an answer from the store. */
const UNANSWERED_CODES: ReadonlySet<string> = new Set([
  "CONNECTION_LOST",
  "NOT_CONNECTED",
  "TIMEOUT",
]);

/**
 * Size of the content from which a message uses a separate connection, bytes.
 */
const LARGE_BYTES = 65_536;
/**
 * Lowest bandwidth that is assumed for large content, bytes per millisecond;
 * the timeout of a call is extended accordingly. It is a twenty-fifth of the
 * bandwidth of the slowest link of a gateway.
 */
const MIN_BYTES_PER_MILLISECOND = 100;

/** Options of {@linkcode SiteClient}. */
export interface SiteClientOptions {
  readonly directory: Directory;
  readonly links: PeerLinks;
  /** Timeout of one attempt of a call without large content, ms. */
  readonly callMilliseconds: number;
}

/** Client of the stores that remembers the current leader. */
export class SiteClient {
  readonly #options: SiteClientOptions;
  /** Signal that is raised when a leader is found. */
  readonly #found = new WakeSignal();
  #leader: string | undefined;
  /** Time when each store last answered any call. */
  readonly #repliedAt = new Map<string, number>();

  constructor(options: SiteClientOptions) {
    this.#options = options;
  }

  /** Name of the leader; undefined if it is unknown. */
  get leader(): string | undefined {
    return this.#leader;
  }

  /**
   * Sets the store that has answered as the leader; undefined if it is lost.
   */
  setLeader(name: string | undefined): void {
    this.#leader = name;
    if (name !== undefined) this.#found.wake();
  }

  /** True if a store has answered any call since a time of the local clock, ms. */
  hasAnsweredSince(store: string, since: number): boolean {
    return (this.#repliedAt.get(store) ?? -Infinity) > since;
  }

  /** Returns the names of all known stores. */
  listStores(): readonly string[] {
    return this.#options.directory.findByRole(ROLES.STORE).map((store) =>
      store.name
    );
  }

  /** Calls a store once. */
  async callStore<N extends HandlerName>(
    store: string,
    name: N,
    options: {
      readonly request: InternalHandlers[N]["request"];
      readonly timeoutMilliseconds: number;
      /** Cancels the call when it aborts. */
      readonly signal?: AbortSignal;
    },
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    const record = this.#options.directory.find(store);
    if (record === undefined) {
      return fail(
        RESULT_CODES.NOT_CONNECTED,
        "The store is not in the directory",
      );
    }
    const { links } = this.#options;
    const isLarge = measureContent(options.request) >= LARGE_BYTES;
    const link = isLarge
      ? links.getBulk(record.address)
      : links.get(record.address);
    const outcome = await link.call(name, options.request, {
      timeoutMilliseconds: options.timeoutMilliseconds,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    const hasReply = outcome.ok || !UNANSWERED_CODES.has(outcome.val.code.name);
    if (hasReply) this.#repliedAt.set(store, performance.now());
    return outcome;
  }

  /**
   * Calls the leader once; waits up to the timeout for a leader if none is
   * known.
   */
  async callLeader<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    timeoutMilliseconds: number,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    if (this.#leader === undefined) await this.#found.wait(timeoutMilliseconds);
    const leader = this.#leader;
    if (leader === undefined) return failWithoutLeader();
    return await this.callStore(leader, name, { request, timeoutMilliseconds });
  }

  /**
   * Calls the leader and retries, with a new leader if one is found, until the
   * time runs out. A leader that answers other calls is waited for: a request that
   * is sent again would only add to the load that makes it slow. Only for
   * idempotent requests.
   */
  async call<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    waitMilliseconds: number,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    const deadline = performance.now() + waitMilliseconds;
    const contentBytes = measureContent(request);
    const attemptMilliseconds = this.#options.callMilliseconds +
      contentBytes / MIN_BYTES_PER_MILLISECOND;
    let isUncertain = false;
    let outcome: Outcome<InternalHandlers[N]["reply"]> | undefined;
    while (true) {
      const remaining = deadline - performance.now();
      const leader = this.#leader;
      if (leader !== undefined && remaining > 0) {
        outcome = await this.#callUntilSilent(leader, name, {
          request,
          timeoutMilliseconds: remaining,
          silenceMilliseconds: attemptMilliseconds,
        });
        if (outcome.ok) return outcome;
        const { code, message, retryAfterMilliseconds } = outcome.val;
        const isRefused = code === RESULT_CODES.LEADER_BUSY ||
          code === RESULT_CODES.QUEUE_FULL;
        if (isRefused && isUncertain) {
          // An earlier attempt may have been executed, so "not run" is not
          // certain.
          return fail(RESULT_CODES.TIMEOUT, message, retryAfterMilliseconds);
        }
        if (!RETRYABLE_CODES.has(code.name)) return outcome;
        isUncertain ||= UNCERTAIN_CODES.has(code.name);
        // A call with large content may time out because of its size. The follower
        // detects a lost leader independently.
        const isSlow = code === RESULT_CODES.TIMEOUT &&
          contentBytes >= LARGE_BYTES;
        if (this.#leader === leader && !isSlow) this.#leader = undefined;
      }
      const waitRemaining = deadline - performance.now();
      if (waitRemaining <= 0) return outcome ?? failWithoutLeader();
      if (this.#leader === undefined) await this.#found.wait(waitRemaining);
    }
  }

  /**
   * Calls a store once; ends with TIMEOUT as soon as it has answered no call at all
   * for the given time, or another store leads.
   */
  async #callUntilSilent<N extends HandlerName>(
    store: string,
    name: N,
    options: {
      readonly request: InternalHandlers[N]["request"];
      readonly timeoutMilliseconds: number;
      readonly silenceMilliseconds: number;
    },
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    const { silenceMilliseconds, ...call } = options;
    const silence = new AbortController();
    let checkedAt = performance.now();
    const timer = setInterval(() => {
      const isOther = this.#leader !== undefined && this.#leader !== store;
      if (isOther || !this.hasAnsweredSince(store, checkedAt)) silence.abort();
      checkedAt = performance.now();
    }, silenceMilliseconds);
    const outcome = await this.callStore(store, name, {
      ...call,
      signal: silence.signal,
    });
    clearInterval(timer);
    const isSilent = silence.signal.aborted && outcome.err &&
      outcome.val.code === RESULT_CODES.CANCELLED;
    if (!isSilent) return outcome;
    return fail(RESULT_CODES.TIMEOUT, `${store} does not answer`);
  }
}

function failWithoutLeader() {
  return fail(RESULT_CODES.NO_LEADER, "The leader of the stores is unknown");
}

/**
 * Returns the size of a request's binary content, bytes, without its short
 * fields.
 */
function measureContent(request: object): number {
  let bytes = 0;
  for (const value of Object.values(request)) {
    if (value instanceof Uint8Array) bytes += value.length;
  }
  return bytes;
}
