/** What the earlier sends of a call leave behind, which must not answer a later one. */

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
 * const opened = await upstream.acquire(limits, now, earlier.connections);
 * earlier.recordSend(opened.unwrap());
 * earlier.recordAnswer("answer-1"); // true
 * earlier.recordAnswer("answer-1"); // false: a copy
 * ```
 */
export class EarlierSends {
  readonly #connections = new Set<UpstreamConnection>();
  readonly #answerIds = new Set<string>();

  /** Connections that have carried the call and must not carry it again. */
  get connections(): ReadonlySet<UpstreamConnection> {
    return this.#connections;
  }

  /** Records that the call is sent over a connection. */
  recordSend(connection: UpstreamConnection): void {
    this.#connections.add(connection);
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
