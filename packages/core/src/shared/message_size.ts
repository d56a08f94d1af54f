/**
 * How many bytes one message of a longer transfer carries: entries to a member,
 * or parts of a document. Nothing here needs a network.
 *
 * The load it answers: a peer whose way is narrow or whose disk is slow. All
 * other messages to it wait behind a large one, heartbeats and turns among them,
 * and what comes just after one has left waits for it and for its own: both grow
 * with the message.
 *
 * What it buys: on ways of 400 kB a second messages shrink from 330 ms each to
 * some 160 ms, reckoned from bytes and pace.
 */

/**
 * Time that a message should take at most, ms: two thirds of an election
 * timeout. A leader short of processor time is late by less than that, and
 * more, smaller messages would make it later.
 */
const LONGEST_MESSAGE_MILLISECONDS = 200;
/** Least bytes of a message: below that its own cost counts for more. */
export const LEAST_MESSAGE_BYTES = 16_384;
/**
 * Most bytes of a message: some 10 ms of a link of 100 Mbit/s, so that
 * heartbeats to all members get through between the messages.
 */
export const MOST_MESSAGE_BYTES = 131_072;

/**
 * Bytes that the next message may carry, by how long the last one took.
 *
 * @example
 * ```ts
 * findMessageBytes(131_072, { sent: 131_000, milliseconds: 330 }); // 65_536
 * findMessageBytes(65_536, { sent: 60_000, milliseconds: 20 }); // 131_072
 * ```
 */
export function findMessageBytes(
  allowed: number,
  last: { readonly sent: number; readonly milliseconds: number },
): number {
  const { sent, milliseconds } = last;
  const isSlow = milliseconds > LONGEST_MESSAGE_MILLISECONDS;
  // A small message that took long has waited for something else.
  if (isSlow && sent >= LEAST_MESSAGE_BYTES) {
    return Math.max(LEAST_MESSAGE_BYTES, allowed / 2);
  }
  const isFast = milliseconds < LONGEST_MESSAGE_MILLISECONDS / 2;
  return isFast ? Math.min(MOST_MESSAGE_BYTES, allowed * 2) : allowed;
}
