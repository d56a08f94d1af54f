/** Tells which calls are tries of one request, as each try has an id of its own. */

import { createHash } from "node:crypto";
import type { Buffer } from "node:buffer";
import type { CallFacts, CallHead } from "../dialect.ts";

/** Length of a fingerprint, characters of 6 bits. */
const FINGERPRINT_LENGTH = 22;
/** Cannot occur in a header value, a method or a target. */
const SEPARATOR = "\0";

/** The parts of a request that its tries have in common. */
export interface FingerprintSource {
  /** Prefix of the ids of the caller's workspace. */
  readonly scope: string;
  readonly host: string;
  readonly head: Pick<CallHead, "method" | "target">;
  readonly facts: Pick<
    CallFacts,
    "programId" | "previousTurnId" | "objectKey" | "promptParts"
  >;
  readonly body: Buffer;
}

/**
 * Identifies a request across its tries. Each digest is computed on its first use,
 * since most requests need one of them or none.
 *
 * @example
 * ```ts
 * const first = new RequestFingerprint({ ...request, facts: { ...facts, programId: "p" } });
 * const other = new RequestFingerprint({ ...request, facts: { ...facts, programId: "q" } });
 * first.content === other.content; // true
 * first.caller === other.caller; // false
 * ```
 */
export class RequestFingerprint {
  readonly #source: Omit<FingerprintSource, "body">;
  /** Undefined once the content is computed. */
  #body: Buffer | undefined;
  #content: string | undefined;
  #caller: string | undefined;

  constructor(source: FingerprintSource) {
    const { body, ...rest } = source;
    this.#source = rest;
    this.#body = body;
  }

  /** Equal for all callers of a workspace that send the same content. */
  get content(): string {
    this.#content ??= computeContent(this.#source, this.#body);
    this.#body = undefined;
    return this.#content;
  }

  /** Equal for the tries of one caller; `content` if the caller is not known. */
  get caller(): string {
    this.#caller ??= computeCaller(this.content, this.#source.facts);
    return this.#caller;
  }

  /** Computes what needs the body, which may be freed afterwards. */
  complete(): void {
    void this.content;
  }

  /** True if callers other than one program may send the same content. */
  get mayBeShared(): boolean {
    return this.#source.facts.previousTurnId === "";
  }
}

function computeContent(
  source: Omit<FingerprintSource, "body">,
  body: Buffer | undefined,
): string {
  const { scope, host, head, facts } = source;
  const place = [scope, host, head.method, head.target, facts.previousTurnId];
  return hash(place.join(SEPARATOR) + SEPARATOR, body);
}

function computeCaller(
  content: string,
  facts: FingerprintSource["facts"],
): string {
  const parts = facts.promptParts.map(({ id }) => id).join(",");
  const caller = [facts.programId, facts.objectKey, parts];
  if (caller.every((text) => text === "")) return content;
  return hash([content, ...caller].join(SEPARATOR));
}

function hash(text: string, body?: Buffer): string {
  const hashed = createHash("sha256").update(text);
  if (body !== undefined) hashed.update(body);
  return hashed.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}
