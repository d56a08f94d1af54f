/**
 * Proof of the shared key when a connection opens. Each side proves the key
 * over both nonces, so a recorded handshake is of no use to anyone.
 */

import { createHmac, randomBytes } from "node:crypto";
import { equalsInConstantTime } from "@mallowlift/core";
import { PROTOCOL_VERSION } from "./frame.ts";

const NONCE_BYTES = 16;

/** Largest frame before the key is proved. */
export const HANDSHAKE_MAX_BYTES = 1_024;

/** First message of a client. */
export interface Hello {
  readonly version: number;
  readonly nonce: string;
}

/** Answer of a server. */
export interface ServerProof extends Hello {
  readonly proof: string;
}

/** Last message of the handshake. */
export interface ClientProof {
  readonly proof: string;
  /** Name of the client daemon, for logs. */
  readonly name: string;
}

/** Both nonces of one handshake. */
export interface Nonces {
  readonly client: string;
  readonly server: string;
}

/** Makes the first message of one side. */
export function createHello(): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString("hex");
  return { version: PROTOCOL_VERSION, nonce };
}

/** Proves the key for one side of the handshake. */
export function createProof(
  side: "client" | "server",
  nonces: Nonces,
  sharedKey: string,
): string {
  const text = `${side}:${nonces.client}:${nonces.server}`;
  return createHmac("sha256", sharedKey).update(text).digest("hex");
}

/** Checks the other side's proof. */
export function checkProof(
  side: "client" | "server",
  nonces: Nonces,
  options: { readonly sharedKey: string; readonly proof: unknown },
): boolean {
  if (typeof options.proof !== "string") return false;
  const expected = createProof(side, nonces, options.sharedKey);
  return equalsInConstantTime(expected, options.proof);
}

/** Returns the nonce of a hello, or undefined if it is not one. */
export function readNonce(value: unknown): string | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const hello = value as Partial<Hello>;
  if (hello.version !== PROTOCOL_VERSION) return undefined;
  if (typeof hello.nonce !== "string") return undefined;
  return hello.nonce.length === NONCE_BYTES * 2 ? hello.nonce : undefined;
}
