/** A caller that exceeds its workspace's quota and may use a key that was replaced. */

import { performance } from "node:perf_hooks";
import { sleep } from "@mallowlift/core";
import { callGateway } from "../gateways/gateway_caller.ts";
import type { ProgramCallerOptions } from "./program_caller.ts";
import { composeGuestKey, GUEST_WORKSPACE } from "./soak_workspaces.ts";

/** How many document versions old a used key can be. */
const MAX_KEY_AGE_VERSIONS = 8;
/** Pause between two requests, ms; the resulting rate is several times the quota. */
const PAUSE_MILLISECONDS = 15;
const ANSWER_TIMEOUT_MILLISECONDS = 10_000;

/** Options of {@linkcode GuestCaller}. */
export interface GuestCallerOptions extends ProgramCallerOptions {
  /** Returns the newest document version that has been sent. */
  readonly getVersion: () => number;
}

/** Sends requests at a fixed rate, without waiting for their answers. */
export class GuestCaller {
  readonly #options: GuestCallerOptions;
  readonly #pending = new Set<Promise<void>>();
  #callCount = 0;

  constructor(options: GuestCallerOptions) {
    this.#options = options;
  }

  /** Runs until the soak is over and all requests have ended. */
  async run(): Promise<void> {
    while (!this.#options.isOver()) {
      const request = this.#sendRequest().finally(() =>
        this.#pending.delete(request)
      );
      this.#pending.add(request);
      await sleep(PAUSE_MILLISECONDS);
    }
    await Promise.all(this.#pending);
  }

  async #sendRequest(): Promise<void> {
    const { name, site, random, records, getVersion } = this.#options;
    const callId = `${name}-g${++this.#callCount}`;
    const version = getVersion() - random.between(0, MAX_KEY_AGE_VERSIONS);
    const sent = {
      callId,
      mayRepeat: true,
      prompt: callId,
      workspace: GUEST_WORKSPACE,
      keyVersion: version,
      sentAt: performance.now(),
      seen: undefined,
    };
    records.add(sent);
    const seen = await callGateway(random.choose(site.gateways).callersUrl, {
      callId,
      path: "/read/x",
      body: callId,
      headers: {
        "x-patience-ms": "4000",
        authorization: `Bearer ${composeGuestKey(version)}`,
      },
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
    });
    Object.assign(sent, { seen });
    records.count(`guest status ${seen.status}`);
  }
}
