/**
 * Adapts the message size of a longer transfer, such as entries to a member or
 * parts of a document, to a peer with a slow link or disk. Other messages to the
 * peer, such as heartbeats and turns, wait behind a large one. Data that is
 * added just after a message was sent waits for that message and then for its
 * own, so both delays grow with the message size. On links of 400 kB/s messages
 * shrink from 330 ms each to about 160 ms.
 */

/**
 * Target for the maximum duration of a message, ms: two thirds of an election
 * timeout. The delays of a leader that is short of processor time stay below
 * this, so they do not shrink its messages: more and smaller messages would
 * delay it further.
 */
const MAX_MESSAGE_MILLISECONDS = 200;
/**
 * Minimum size, bytes; in smaller messages the overhead per message dominates.
 */
export const MIN_MESSAGE_BYTES = 16_384;
/**
 * Maximum size, bytes: about 10 ms of a 100 Mbit/s link, so that heartbeats to
 * all members are sent in time between the messages.
 */
export const MAX_MESSAGE_BYTES = 131_072;

/**
 * Computes the maximum size of the next message, bytes, from the size and
 * duration of the last one: it is halved after a slow message and doubled after
 * a fast one.
 *
 * @example
 * ```ts
 * computeMessageBytes(131_072, { sent: 131_000, milliseconds: 330 }); // 65_536
 * computeMessageBytes(65_536, { sent: 60_000, milliseconds: 20 }); // 131_072
 * ```
 */
export function computeMessageBytes(
  allowed: number,
  last: { readonly sent: number; readonly milliseconds: number },
): number {
  const { sent, milliseconds } = last;
  const isSlow = milliseconds > MAX_MESSAGE_MILLISECONDS;
  // A small message is slow only because it waited for something else.
  if (isSlow && sent >= MIN_MESSAGE_BYTES) {
    return Math.max(MIN_MESSAGE_BYTES, allowed / 2);
  }
  const isFast = milliseconds < MAX_MESSAGE_MILLISECONDS / 2;
  return isFast ? Math.min(MAX_MESSAGE_BYTES, allowed * 2) : allowed;
}
