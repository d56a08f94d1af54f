/**
 * Stops sending a request that ends each upstream which begins it. A try of a
 * caller is sent to few upstreams, but its caller tries again, and nothing else
 * connects the tries.
 */

import type { ShareQuarantine } from "@mallowlift/core";
import { AnsweredContents } from "./answered_contents.ts";
import type { RequestFingerprint } from "./request_fingerprint.ts";
import {
  type QuarantineLimits,
  SuspectRequest,
  type UpstreamEnd,
} from "./suspect_request.ts";

/** Largest number of suspect fingerprints; the oldest are dropped. */
const MAX_SUSPECTS = 1_024;

/** Whether a request may be sent now. */
export const QUARANTINE_DECISIONS = {
  SEND: "send",
  /** Another attempt is in flight that will tell. */
  WAIT: "wait",
  REFUSE: "refuse",
} as const;

/** The decision for a request. */
export type QuarantineDecision =
  | { readonly kind: "send" | "wait" }
  | { readonly kind: "refuse"; readonly retryAfterMilliseconds: number };

/** Why a request has left the quarantine. */
export const RELEASE_REASONS = {
  ANSWERED: "answered",
  EXPIRED: "expired",
  /** Dropped for lack of room. */
  EVICTED: "evicted",
} as const;

/** One of {@linkcode RELEASE_REASONS}. */
export type ReleaseReason =
  typeof RELEASE_REASONS[keyof typeof RELEASE_REASONS];

/** Is told which requests enter and leave the quarantine. */
export interface QuarantineObserver {
  onQuarantined(fingerprint: string, suspect: SuspectRequest): void;
  onReleased(fingerprint: string, reason: ReleaseReason): void;
}

/** What identifies a request. */
export type Fingerprint = Pick<
  RequestFingerprint,
  "content" | "caller" | "mayBeShared"
>;

const NOTHING_TO_SHARE: ShareQuarantine = { ends: [], answers: [] };

/**
 * The requests under which upstreams have ended. A request is suspect by its
 * content, which many callers may send, and by its caller, so that callers who
 * send the same content and are answered do not clear the one that is not.
 *
 * @example
 * ```ts
 * quarantine.recordEnd(fingerprint, { upstream: "u-1", sentAt, endedAt, now });
 * quarantine.decide(fingerprint, now).kind; // "send" until maxEnds upstreams have ended
 * ```
 */
export class Quarantine {
  readonly #limits: QuarantineLimits;
  readonly #observer: QuarantineObserver;
  /** By fingerprint; the one with the newest end is last. */
  readonly #suspects = new Map<string, SuspectRequest>();
  readonly #answered = new AnsweredContents();

  constructor(limits: QuarantineLimits, observer: QuarantineObserver) {
    this.#limits = limits;
    this.#observer = observer;
  }

  /** True if no request is suspect. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** Number of requests that are in quarantine. */
  countQuarantined(): number {
    let count = 0;
    for (const suspect of this.#suspects.values()) {
      if (suspect.isQuarantined) count++;
    }
    return count;
  }

  /** Decides whether a request may be sent now. */
  decide(fingerprint: Fingerprint, now: number): QuarantineDecision {
    let heldUntil = -Infinity;
    let mustWait = false;
    for (const key of listKeys(fingerprint)) {
      const suspect = this.#suspects.get(key);
      if (suspect === undefined || now >= suspect.expiresAt) continue;
      const isUndecided = key === fingerprint.content &&
        now < suspect.undecidedUntil;
      if (!isUndecided) heldUntil = Math.max(heldUntil, suspect.heldUntil);
      else if (suspect.isQuarantined) mustWait = true;
      mustWait ||= suspect.isSentOneAtATime && suspect.attempts > 0;
    }
    if (now < heldUntil) {
      const retryAfterMilliseconds = Math.ceil(heldUntil - now);
      return { kind: QUARANTINE_DECISIONS.REFUSE, retryAfterMilliseconds };
    }
    return {
      kind: mustWait ? QUARANTINE_DECISIONS.WAIT : QUARANTINE_DECISIONS.SEND,
    };
  }

  /** Counts an attempt as in flight until the returned function is called. */
  beginAttempt(fingerprint: Fingerprint): () => void {
    const suspects = this.#findSuspects(fingerprint);
    for (const suspect of suspects) suspect.attempts++;
    return () => {
      for (const suspect of suspects) suspect.attempts--;
    };
  }

  /**
   * Records that an upstream ended while it ran a request.
   *
   * @returns what other gateways have to know
   */
  recordEnd(
    fingerprint: Fingerprint,
    details: Omit<UpstreamEnd, "wasAnswered"> & { readonly now: number },
  ): ShareQuarantine {
    if (this.#limits.maxEnds === 0) return NOTHING_TO_SHARE;
    const { now, ...ended } = details;
    const wasAnswered = this.#answered.has(fingerprint.content);
    const end: UpstreamEnd = { ...ended, wasAnswered };
    for (const key of listKeys(fingerprint)) this.#addEnd(key, end, now);
    return {
      ends: listKeys(fingerprint).map((key) => describeEnd(key, end, now)),
      answers: [],
    };
  }

  /**
   * Records the answer to an attempt. It clears the content, since a request that
   * ends each upstream is never answered, and the caller's request if no upstream
   * has ended under it since the attempt was sent: a program may send the same
   * several times at once.
   *
   * @returns what other gateways have to know
   */
  recordAnswer(
    fingerprint: Fingerprint,
    details: { readonly sentAt: number; readonly now: number },
  ): ShareQuarantine {
    const { sentAt, now } = details;
    if (fingerprint.mayBeShared) this.#answered.add(fingerprint.content);
    if (this.isEmpty) return NOTHING_TO_SHARE;
    const answers: ShareQuarantine["answers"][number][] = [];
    for (const key of listKeys(fingerprint)) {
      const clearedUntil = key === fingerprint.content ? now : sentAt;
      if (!this.#clear(key, clearedUntil)) continue;
      const clearedAgeMilliseconds = now - clearedUntil;
      answers.push({ fingerprint: key, clearedAgeMilliseconds });
    }
    return answers.length === 0 ? NOTHING_TO_SHARE : { ends: [], answers };
  }

  /** Takes over what another gateway has shared. */
  merge(shared: ShareQuarantine, now: number): void {
    if (this.#limits.maxEnds === 0) return;
    for (const end of shared.ends) {
      this.#addEnd(end.fingerprint, {
        upstream: end.upstream,
        sentAt: now - end.sentAgeMilliseconds,
        endedAt: now - end.endedAgeMilliseconds,
        wasAnswered: end.wasAnswered,
      }, now);
    }
    for (const { fingerprint, clearedAgeMilliseconds } of shared.answers) {
      this.#clear(fingerprint, now - clearedAgeMilliseconds);
    }
  }

  /** Describes all suspect requests, for a gateway that knows none. */
  describe(now: number): ShareQuarantine {
    const ends: ShareQuarantine["ends"][number][] = [];
    for (const [key, suspect] of this.#suspects) {
      for (const end of suspect.ends) ends.push(describeEnd(key, end, now));
    }
    return { ends, answers: [] };
  }

  /** Forgets the requests whose ends have expired. */
  removeExpired(now: number): void {
    for (const [key, suspect] of this.#suspects) {
      if (now >= suspect.expiresAt) this.#remove(key, RELEASE_REASONS.EXPIRED);
    }
  }

  #findSuspects(fingerprint: Fingerprint): readonly SuspectRequest[] {
    const suspects: SuspectRequest[] = [];
    for (const key of listKeys(fingerprint)) {
      const suspect = this.#suspects.get(key);
      if (suspect !== undefined) suspects.push(suspect);
    }
    return suspects;
  }

  #addEnd(key: string, end: UpstreamEnd, now: number): void {
    const known = this.#suspects.get(key);
    const isExpired = known !== undefined && now >= known.expiresAt;
    if (isExpired) this.#remove(key, RELEASE_REASONS.EXPIRED);
    const suspect = known === undefined || isExpired
      ? new SuspectRequest(this.#limits)
      : known;
    if (!suspect.addEnd(end)) return;
    this.#suspects.delete(key);
    this.#suspects.set(key, suspect);
    if (suspect.isQuarantined) this.#observer.onQuarantined(key, suspect);
    const [oldest] = this.#suspects.keys();
    if (this.#suspects.size > MAX_SUSPECTS && oldest !== undefined) {
      this.#remove(oldest, RELEASE_REASONS.EVICTED);
    }
  }

  /** Clears a request unless an upstream ended under it later; true if it was suspect. */
  #clear(key: string, clearedUntil: number): boolean {
    const suspect = this.#suspects.get(key);
    if (suspect === undefined || suspect.lastEndedAt > clearedUntil) {
      return false;
    }
    this.#remove(key, RELEASE_REASONS.ANSWERED);
    return true;
  }

  #remove(key: string, reason: ReleaseReason): void {
    const suspect = this.#suspects.get(key);
    this.#suspects.delete(key);
    if (suspect?.isQuarantined) this.#observer.onReleased(key, reason);
  }
}

function listKeys(fingerprint: Fingerprint): readonly string[] {
  const { content, caller } = fingerprint;
  return content === caller ? [content] : [content, caller];
}

function describeEnd(
  fingerprint: string,
  end: UpstreamEnd,
  now: number,
): ShareQuarantine["ends"][number] {
  return {
    fingerprint,
    upstream: end.upstream,
    sentAgeMilliseconds: now - end.sentAt,
    endedAgeMilliseconds: now - end.endedAt,
    wasAnswered: end.wasAnswered,
  };
}
