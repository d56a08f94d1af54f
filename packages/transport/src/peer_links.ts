/** Manages the links of one daemon to its peers by address. */

import { PeerLink, type PeerLinkOptions } from "./peer_link.ts";

/**
 * Time without a call after which a link is dropped, ms. Daemons that still
 * need each other exchange calls much more often, so only links to daemons
 * that are gone or no longer needed are dropped.
 */
const IDLE_TIMEOUT_MILLISECONDS = 120_000;

/** Creates links on first use and drops idle ones. */
export class PeerLinks {
  readonly #options: PeerLinkOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #bulkLinks = new Map<string, PeerLink>();
  #stopped = false;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
  }

  /** Returns the link to an address. */
  get(address: string): PeerLink {
    return this.#find(this.#links, address);
  }

  /**
   * Returns a second link to an address, for large messages: a large message
   * delays all messages that are sent after it on the same connection.
   */
  getBulk(address: string): PeerLink {
    return this.#find(this.#bulkLinks, address);
  }

  /**
   * Drops links without a recent call. Until it is stopped, a link keeps
   * trying to connect, even to a daemon that is permanently gone.
   *
   * @param now present time, monotonic, ms
   */
  dropIdle(now: number): void {
    for (const links of [this.#links, this.#bulkLinks]) {
      for (const link of links.values()) {
        if (now - link.lastUsedAt < IDLE_TIMEOUT_MILLISECONDS) continue;
        link.stop();
        links.delete(link.address);
      }
    }
  }

  /** Returns the addresses that have a link. */
  list(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Closes all links. */
  stop(): void {
    this.#stopped = true;
    for (const links of [this.#links, this.#bulkLinks]) {
      for (const link of links.values()) link.stop();
      links.clear();
    }
  }

  #find(links: Map<string, PeerLink>, address: string): PeerLink {
    const existing = links.get(address);
    if (existing !== undefined) return existing;
    const link = new PeerLink(address, this.#options);
    links.set(address, link);
    // A task that is still running after stop() must not open new connections.
    if (this.#stopped) link.stop();
    return link;
  }
}
