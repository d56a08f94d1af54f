/** Checks whether an upstream still accepts connections at its address. */

import { connect } from "node:net";
import { parseAddress } from "@mallowlift/transport";

/** What a connection attempt says of an upstream. */
export const UPSTREAM_STATES = {
  /** Its address refuses connections. */
  ENDED: "ended",
  /** It accepts connections. */
  LIVE: "live",
  /** Nothing answered, as when the path to it is cut. */
  UNKNOWN: "unknown",
} as const;

/** One of {@linkcode UPSTREAM_STATES}. */
export type UpstreamState =
  typeof UPSTREAM_STATES[keyof typeof UPSTREAM_STATES];

/** What a failed connection attempt says; other errors say nothing. */
const STATES_BY_ERROR: ReadonlyMap<string, UpstreamState> = new Map([
  ["ECONNREFUSED", UPSTREAM_STATES.ENDED],
  // Accepted first, and reset because of a limit or a fault.
  ["ECONNRESET", UPSTREAM_STATES.LIVE],
]);

/**
 * Opens a connection and closes it at once. A crashed process refuses it, while
 * an upstream that has reset or closed a single connection accepts it.
 *
 * @example
 * ```ts
 * await checkAddress("10.0.0.1:80", 300); // "ended" if nothing listens there
 * ```
 */
export function checkAddress(
  address: string,
  timeoutMilliseconds: number,
): Promise<UpstreamState> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    const settle = (state: UpstreamState) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setTimeout(
      () => settle(UPSTREAM_STATES.UNKNOWN),
      timeoutMilliseconds,
    );
    socket.once("connect", () => settle(UPSTREAM_STATES.LIVE));
    socket.on(
      "error",
      ({ code = "" }: NodeJS.ErrnoException) =>
        settle(STATES_BY_ERROR.get(code) ?? UPSTREAM_STATES.UNKNOWN),
    );
  });
}
