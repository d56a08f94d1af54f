/** What the earlier sends of a call leave behind, which must not answer a later one. */

import type { ConnectionChoice } from "../upstreams/upstream.ts";
import type { UpstreamConnection } from "../upstreams/upstream_connection.ts";

/**
 * Records the connections and the answers of a call. An upstream may repeat an
 * answer late, in the place of the next one on the connection. If that is the
 * answer to another send of the same call, its call id does not tell the two
 * apart.
 *
 * @example
 * ```ts
 * const earlier = new EarlierSends();
 * const opened = await upstream.acquire(limits, now, earlier.connectionChoice);
 * earlier.recordSend(opened.unwrap());
 * earlier.recordAnswer("answer-1"); // true
 * earlier.recordAnswer("answer-1"); // false: a copy
 * ```
 */
export class EarlierSends {
  readonly #connections = new Set<UpstreamConnection>();
  readonly #answerIds = new Set<string>();
  #needsNew = false;

  /** Which connections may carry the next send of the call. */
  get connectionChoice(): ConnectionChoice {
    return { excluded: this.#connections, needsNew: this.#needsNew };
  }

  /** Records that the call is sent over a connection. */
  recordSend(connection: UpstreamConnection): void {
    this.#connections.add(connection);
  }

  /**
   * Records that bytes of no answer came over a connection. The rest of an earlier
   * answer may come over any other one that has been used before.
   */
  recordSpoiled(connection: UpstreamConnection): void {
    if (connection.isReused) this.#needsNew = true;
  }

  /**
   * Records an answer to the call; false if an earlier send got the same one.
   * Answers without an id are taken for different ones.
   */
  recordAnswer(answerId: string | undefined): boolean {
    if (answerId === undefined) return true;
    if (this.#answerIds.has(answerId)) return false;
    this.#answerIds.add(answerId);
    return true;
  }
}
