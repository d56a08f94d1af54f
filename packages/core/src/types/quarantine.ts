/** Messages in which gateways share under which requests upstreams have ended. */

/** An upstream that ended while it ran a request. */
export interface SharedEnd {
  /** Fingerprint of the request or of its content. */
  readonly fingerprint: string;
  /** Id of the upstream. */
  readonly upstream: string;
  /** Time since the request was sent to the upstream, ms. */
  readonly sentAgeMilliseconds: number;
  /** Time since the upstream ended, ms. */
  readonly endedAgeMilliseconds: number;
  /** True if the same content had been answered before. */
  readonly wasAnswered: boolean;
}

/** An answer to a request under which upstreams had ended. */
export interface SharedAnswer {
  readonly fingerprint: string;
  /** Ends that are older than this are cleared by it, ms. */
  readonly clearedAgeMilliseconds: number;
}

/** Ends and answers that one gateway shares with another. */
export interface ShareQuarantine {
  readonly ends: readonly SharedEnd[];
  readonly answers: readonly SharedAnswer[];
}

/** Asks another gateway for all ends that it knows. */
export interface ReadQuarantine {
  /** Name of the gateway that asks. */
  readonly gateway: string;
}
