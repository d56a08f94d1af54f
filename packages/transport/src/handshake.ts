/**
 * Mutual authentication with the shared key when a connection opens. Each
 * proof covers both nonces, so that a recorded handshake cannot be replayed.
 */

import { createHmac, randomBytes } from "node:crypto";
import { equalsInConstantTime } from "@mallowlift/core";
import { PROTOCOL_VERSION } from "./frame.ts";

const NONCE_BYTES = 16;

/** Largest frame that is accepted before the peer is authenticated, bytes. */
export const HANDSHAKE_MAX_BYTES = 1_024;

/** First message of the handshake, sent by the client. */
export interface Hello {
  readonly version: number;
  readonly nonce: string;
}

/** Second message of the handshake, sent by the server. */
export interface ServerProof extends Hello {
  readonly proof: string;
}

/** Last message of the handshake, sent by the client. */
export interface ClientProof {
  readonly proof: string;
  /** Name of the client daemon, for logs. */
  readonly name: string;
}

/** Nonces of both sides of one handshake, hex. */
export interface Nonces {
  readonly client: string;
  readonly server: string;
}

/** Creates the version and a random nonce for one side. */
export function createHello(): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString("hex");
  return { version: PROTOCOL_VERSION, nonce };
}

/** Computes the proof of one side: an HMAC of the side and both nonces, hex. */
export function createProof(
  side: "client" | "server",
  nonces: Nonces,
  sharedKey: string,
): string {
  const text = `${side}:${nonces.client}:${nonces.server}`;
  return createHmac("sha256", sharedKey).update(text).digest("hex");
}

/** Checks the proof that a side sent, in constant time. */
export function checkProof(
  side: "client" | "server",
  nonces: Nonces,
  options: { readonly sharedKey: string; readonly proof: unknown },
): boolean {
  if (typeof options.proof !== "string") return false;
  const expected = createProof(side, nonces, options.sharedKey);
  return equalsInConstantTime(expected, options.proof);
}

/** Returns the nonce of a valid hello of this protocol version, otherwise undefined. */
export function readNonce(value: unknown): string | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const hello = value as Partial<Hello>;
  if (hello.version !== PROTOCOL_VERSION) return undefined;
  if (typeof hello.nonce !== "string") return undefined;
  return hello.nonce.length === NONCE_BYTES * 2 ? hello.nonce : undefined;
}
