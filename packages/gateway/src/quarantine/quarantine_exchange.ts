/** Shares the quarantine of a gateway with the other gateways. */

import { performance } from "node:perf_hooks";
import {
  type Logger,
  RESULT_CODES,
  ROLES,
  type ShareQuarantine,
  sleep,
} from "@mallowlift/core";
import type { Directory } from "@mallowlift/membership";
import type { HandlerTable, PeerClient } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { Quarantine } from "./quarantine.ts";

/** Time in which changes are collected into one message, ms. */
const COLLECT_MILLISECONDS = 2;
/**
 * Timeout of a message, ms. The failure of a caller's try waits for it, see
 * {@linkcode CallQuarantine.waitUntilShared}.
 */
const SHARE_TIMEOUT_MILLISECONDS = 400;
/** Largest age of a gateway's last heartbeat at which changes are sent to it, ms. */
const MAX_HEARTBEAT_AGE_MILLISECONDS = 5_000;

/** Time between two checks whether a starting gateway has joined, ms. */
const LEARN_POLL_MILLISECONDS = 50;
/** Gateways that are asked after a start; each of them knows almost all ends. */
const MAX_ASKED_PEERS = 3;

/** Options of {@linkcode QuarantineExchange}. */
export interface QuarantineExchangeOptions {
  readonly quarantine: Quarantine;
  readonly directory: Pick<Directory, "findByRole" | "self">;
  readonly links: { get(address: string): PeerClient };
  /** True once this gateway has found the other daemons of its site. */
  readonly hasJoined: () => boolean;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  readonly logger: Logger;
}

interface Peer {
  readonly name: string;
  readonly address: string;
  /** Name and boot id, so that a restarted gateway is another peer. */
  readonly key: string;
}

/**
 * Sends changes to all other gateways at once. A gateway that was cut off gets the
 * whole quarantine later, and one that has just started asks for it.
 */
export class QuarantineExchange {
  readonly #options: QuarantineExchangeOptions;
  /** Keys of the peers that have acknowledged all changes. */
  readonly #upToDate = new Set<string>();
  /** Keys of the peers that did not acknowledge the last message in time. */
  readonly #silent = new Set<string>();
  #collected: ShareQuarantine = { ends: [], answers: [] };
  #flush: Promise<void> | undefined;
  #isSweeping = false;
  #hasLearned = false;
  #isStopped = false;

  constructor(options: QuarantineExchangeOptions) {
    this.#options = options;
  }

  /** True once other gateways have been asked for what they know. */
  get hasLearned(): boolean {
    return this.#hasLearned;
  }

  /** Takes over what other gateways know, once this one has joined its site. */
  async learn(): Promise<void> {
    const { hasJoined, random } = this.#options;
    while (!this.#isStopped && !hasJoined()) {
      await sleep(LEARN_POLL_MILLISECONDS);
    }
    const peers = this.#listPeers(performance.now());
    const first = Math.floor(random() * peers.length);
    const asked = [...peers.slice(first), ...peers.slice(0, first)]
      .slice(0, MAX_ASKED_PEERS);
    await Promise.all(asked.map((peer) => this.#read(peer)));
    this.#hasLearned = true;
  }

  /** Ends the wait of {@linkcode learn}. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends a change; resolves when all reachable gateways have it. */
  share(change: ShareQuarantine): Promise<void> {
    this.#collected = {
      ends: [...this.#collected.ends, ...change.ends],
      answers: [...this.#collected.answers, ...change.answers],
    };
    this.#flush ??= this.#flushSoon();
    return this.#flush;
  }

  /** Sends the whole quarantine to gateways that have missed a change. */
  async sendMissed(now: number): Promise<void> {
    if (this.#isSweeping || this.#options.quarantine.isEmpty) return;
    this.#isSweeping = true;
    const peers = this.#listPeers(now);
    const keys = new Set(peers.map(({ key }) => key));
    for (const known of [this.#upToDate, this.#silent]) {
      for (const key of known) if (!keys.has(key)) known.delete(key);
    }
    const behind = peers.filter(({ key }) => !this.#upToDate.has(key));
    await Promise.all(behind.map((peer) => this.#send(peer, now)));
    this.#isSweeping = false;
  }

  /** Handler for the changes of other gateways. */
  createHandlers(): HandlerTable {
    return {
      "quarantine.share": (shared) => {
        this.#options.quarantine.merge(shared, performance.now());
        return Promise.resolve(Ok({}));
      },
      "quarantine.read": () =>
        Promise.resolve(
          Ok(this.#options.quarantine.describe(performance.now())),
        ),
    };
  }

  async #read({ name, address }: Peer): Promise<void> {
    const { quarantine, directory, links, logger } = this.#options;
    const read = await links.get(address).call(
      "quarantine.read",
      { gateway: directory.self.name },
      { timeoutMilliseconds: SHARE_TIMEOUT_MILLISECONDS },
    );
    if (read.ok) return quarantine.merge(read.val, performance.now());
    const reason = read.val.code.name;
    logger.info("Quarantine not read", { peer: name, reason });
  }

  async #flushSoon(): Promise<void> {
    await sleep(COLLECT_MILLISECONDS);
    const change = this.#collected;
    this.#collected = { ends: [], answers: [] };
    this.#flush = undefined;
    const now = performance.now();
    // No caller waits for a peer that is known to be silent; it gets the change with
    // the others that it has missed.
    const peers = this.#listPeers(now).filter(({ key }) =>
      !this.#silent.has(key)
    );
    await Promise.all(peers.map((peer) => this.#send(peer, now, change)));
  }

  /** Sends a change to a peer that has all earlier ones, and everything to others. */
  async #send(
    peer: Peer,
    now: number,
    change?: ShareQuarantine,
  ): Promise<void> {
    const { quarantine, links, logger } = this.#options;
    const shared = change !== undefined && this.#upToDate.has(peer.key)
      ? change
      : quarantine.describe(now);
    const sent = await links.get(peer.address).call(
      "quarantine.share",
      shared,
      { timeoutMilliseconds: SHARE_TIMEOUT_MILLISECONDS },
    );
    // A gateway of an earlier release has no quarantine.
    if (sent.ok || sent.val.code === RESULT_CODES.UNKNOWN_METHOD) {
      this.#silent.delete(peer.key);
      this.#upToDate.add(peer.key);
      return;
    }
    this.#upToDate.delete(peer.key);
    if (!this.#silent.has(peer.key)) {
      this.#silent.add(peer.key);
      logger.info("Quarantine not shared", {
        peer: peer.name,
        reason: sent.val.code.name,
      });
    }
  }

  #listPeers(now: number): readonly Peer[] {
    const { directory } = this.#options;
    const since = now - MAX_HEARTBEAT_AGE_MILLISECONDS;
    return directory.findByRole(ROLES.GATEWAY, since)
      .filter(({ name }) => name !== directory.self.name)
      .map(({ name, address, bootId }) => ({
        name,
        address,
        key: `${name} ${bootId}`,
      }));
  }
}
