/** Keeps the directory of daemons up to date by asking seeds and peers. */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  type Child,
  type DirectoryExchange,
  type Outcome,
  RESULT_CODES,
  ROLES,
  sleep,
} from "@mallowlift/core";
import type { HandlerTable, PeerLinks } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { Directory } from "./directory.ts";
import type { FounderGrants } from "./founder_grants.ts";

/** Longest wait for the answer of one peer, ms: far above a round trip. */
const ANSWER_MILLISECONDS = 1_000;
/** Time from the start in which peers are asked more often, ms. */
const HURRY_MILLISECONDS = 3_000;
/** Time between two exchanges at first, ms: a site starts within a second. */
const HURRY_INTERVAL_MILLISECONDS = 150;
/** Time between two exchanges while no store is known, ms: some round trips. */
const SEARCH_INTERVAL_MILLISECONDS = 40;
/** Claims wait no longer than this for a seed, ms. */
const CLAIM_MILLISECONDS = 1_000;

/** What the task works with. */
export interface DirectoryTaskOptions {
  readonly directory: Directory;
  readonly grants: FounderGrants;
  readonly links: PeerLinks;
  /** Addresses of the seeds as the settings give them now. */
  readonly listSeeds: () => readonly string[];
  readonly intervalMilliseconds: number;
  /** Returns a number from 0 to 1, to choose peers by. */
  readonly random: () => number;
}

/** Exchanges the directory with one seed and one other peer at a time. */
export class DirectoryTask implements Child {
  readonly name = "directory";
  readonly #options: DirectoryTaskOptions;
  readonly #stopped = new AbortController();

  constructor(options: DirectoryTaskOptions) {
    this.#options = options;
  }

  /** Handlers for other daemons. */
  createHandlers(): HandlerTable {
    const { directory, grants } = this.#options;
    return {
      "directory.exchange": (request) => {
        const now = performance.now();
        directory.merge(request.records, now);
        const reply: Outcome<DirectoryExchange> = Ok({
          records: request.isOnlyTold === true ? [] : directory.describe(now),
        });
        return Promise.resolve(reply);
      },
      "directory.compare": (request) =>
        Promise.resolve(Ok(directory.compare(request, performance.now()))),
      "directory.claim": (request) =>
        Promise.resolve(Ok(grants.claim(request, performance.now()))),
    };
  }

  /** Starts to ask. */
  start(): Promise<void> {
    void this.#run(performance.now());
    return Promise.resolve();
  }

  /** Ends the task. */
  stop(): Promise<void> {
    this.#stopped.abort(ABORTED);
    return Promise.resolve();
  }

  /** True once a majority of the seeds grants this daemon the founding. */
  async claimFounding(): Promise<boolean> {
    const seeds = this.#options.listSeeds();
    const answers = await this.#askSeeds(seeds, false);
    const granted = answers.filter((isGranted) => isGranted).length;
    if (granted > seeds.length / 2) return true;
    // Two that claim at once would otherwise block each other for good.
    await this.#askSeeds(seeds, true);
    return false;
  }

  async #askSeeds(
    seeds: readonly string[],
    isReturned: boolean,
  ): Promise<readonly boolean[]> {
    const { directory, links } = this.#options;
    const { name, bootId } = directory.self;
    return await Promise.all(seeds.map(async (seed) => {
      const answer = await links.get(seed).call(
        "directory.claim",
        { name, bootId, isReturned },
        { timeoutMilliseconds: CLAIM_MILLISECONDS },
      );
      return answer.ok && answer.val.granted;
    }));
  }

  async #run(startedAt: number): Promise<void> {
    const { directory, links, intervalMilliseconds } = this.#options;
    while (!this.#stopped.signal.aborted) {
      const now = performance.now();
      directory.forget(now);
      links.dropIdle(now);
      const isEarly = now - startedAt < HURRY_MILLISECONDS;
      const isLost = directory.findByRole(ROLES.STORE).length === 0;
      const peers = this.#choosePeers(isEarly && isLost);
      for (const address of peers) {
        void (isLost ? this.#exchange(address) : this.#compare(address));
      }
      const hurry = isLost
        ? SEARCH_INTERVAL_MILLISECONDS
        : HURRY_INTERVAL_MILLISECONDS;
      const pause = isEarly
        ? Math.min(hurry, intervalMilliseconds)
        : intervalMilliseconds;
      await sleep(pause, this.#stopped.signal);
    }
  }

  /**
   * Seeds join halves that do not know each other; peers outlive seeds. A
   * daemon that has just started asks every seed, since some may be down.
   */
  #choosePeers(everySeed: boolean): readonly string[] {
    const { directory, listSeeds } = this.#options;
    const own = directory.self.address;
    const seeds = listSeeds().filter((address) => address !== own);
    const chosen = new Set<string>(everySeed ? seeds : []);
    for (const addresses of [seeds, directory.listPeers()]) {
      const address = this.#chooseOne(addresses);
      if (address !== undefined) chosen.add(address);
    }
    return [...chosen];
  }

  #chooseOne(addresses: readonly string[]): string | undefined {
    return addresses[Math.floor(this.#options.random() * addresses.length)];
  }

  /**
   * Finds out what differs and exchanges only that. Among 390 daemons that know
   * each other a daemon and whoever answers it send 4.0 kB a second in this
   * way, and 112 kB with all records each time; among 100 it is 1.1 and 28 kB
   * (counted from the encoded messages, at an interval of 2 s).
   */
  async #compare(address: string): Promise<void> {
    const { directory, links } = this.#options;
    const link = links.get(address);
    const answer = await link.call(
      "directory.compare",
      directory.summarize(performance.now()),
      { timeoutMilliseconds: ANSWER_MILLISECONDS },
    );
    if (answer.err) {
      const isOlder = answer.val.code === RESULT_CODES.UNKNOWN_METHOD;
      return isOlder ? await this.#exchange(address) : undefined;
    }
    const now = performance.now();
    directory.merge(answer.val.records, now);
    directory.refresh(answer.val.fresher, now);
    const records = directory.describeWanted(answer.val.wanted, now);
    if (records.length === 0) return;
    await link.call("directory.exchange", { records, isOnlyTold: true }, {
      timeoutMilliseconds: ANSWER_MILLISECONDS,
    });
  }

  async #exchange(address: string): Promise<void> {
    const { directory, links } = this.#options;
    const records = directory.describe(performance.now());
    const answer = await links.get(address).call(
      "directory.exchange",
      { records },
      { timeoutMilliseconds: ANSWER_MILLISECONDS },
    );
    // An unreachable peer is no news: its record ages until it is dropped.
    if (answer.ok) directory.merge(answer.val.records, performance.now());
  }
}
