/** The links of one daemon, one per address. */

import { PeerLink, type PeerLinkOptions } from "./peer_link.ts";

/**
 * Time without a call after which a link is dropped, ms: far above the pauses
 * between two exchanges of a pair of daemons, so that only those that are gone
 * or of no further use are dropped.
 */
const IDLE_MILLISECONDS = 120_000;

/** Makes links when they are first needed and drops idle ones. */
export class PeerLinks {
  readonly #options: PeerLinkOptions;
  readonly #links = new Map<string, PeerLink>();
  #stopped = false;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
  }

  /** Returns the link to an address. */
  get(address: string): PeerLink {
    const known = this.#links.get(address);
    if (known !== undefined) return known;
    const link = new PeerLink(address, this.#options);
    this.#links.set(address, link);
    // A task that ends later than the links must not open new connections.
    if (this.#stopped) link.stop();
    return link;
  }

  /**
   * Drops links that carried nothing for a while: a link keeps trying to
   * connect for as long as it lives, also to a daemon that is gone for good.
   */
  dropIdle(now: number): void {
    for (const link of this.#links.values()) {
      if (now - link.lastUsedAt < IDLE_MILLISECONDS) continue;
      link.stop();
      this.#links.delete(link.address);
    }
  }

  /** Addresses that links are kept to. */
  list(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Closes all links. */
  stop(): void {
    this.#stopped = true;
    for (const link of this.#links.values()) link.stop();
    this.#links.clear();
  }
}
