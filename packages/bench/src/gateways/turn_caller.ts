/** Calls turns at a test site, and finds what its upstreams ran. */

import { sleep } from "@mallowlift/core";
import { WORK_HEADER } from "@mallowlift/mocks";
import { callGateway, type CallResult } from "./gateway_caller.ts";
import type { TestSite } from "./start_test_site.ts";

/** Calls a turn on the route that keeps history; its input is `input-ID;`. */
export function callTurn(
  { site }: TestSite,
  turn: {
    readonly id: string;
    readonly previous?: string;
    readonly gateway?: number;
    readonly budget?: number;
    readonly program?: string;
    /** Time until the upstream begins to answer, ms. */
    readonly workMilliseconds?: number;
  },
): Promise<CallResult> {
  const url = site.gateways[turn.gateway ?? 0]?.callersUrl ?? "";
  return callGateway(url, {
    callId: turn.id,
    path: "/stream/x",
    body: `input-${turn.id};`,
    headers: {
      "x-program": turn.program ?? "p",
      "x-most-tokens": "6",
      ...(turn.budget === undefined
        ? {}
        : { "x-token-budget": String(turn.budget) }),
      ...(turn.previous === undefined
        ? {}
        : { "x-previous-turn": turn.previous }),
      ...(turn.workMilliseconds === undefined
        ? {}
        : { [WORK_HEADER]: String(turn.workMilliseconds) }),
    },
  });
}

/** Retries a turn under new ids until it is served; throws after 100 attempts. */
export async function callTurnUntilServed(
  running: TestSite,
  turn: Parameters<typeof callTurn>[1],
): Promise<CallResult> {
  for (let attempt = 0; attempt < 100; attempt++) {
    const result = await callTurn(running, {
      ...turn,
      id: `${turn.id}-${attempt}`,
    });
    if (result.status === 200 && result.whole) return result;
    await sleep(100);
  }
  throw new Error("The turn was not served within 100 attempts");
}

/** Returns the prompt that an upstream got for a call, or "not run". */
export function findPrompt({ upstreams }: TestSite, callId: string): string {
  for (const upstream of upstreams) {
    for (const run of upstream.runs) if (run.callId === callId) return run.body;
  }
  return "not run";
}

/** Returns how many times upstreams ran a call. */
export function countRuns({ upstreams }: TestSite, callId: string): number {
  let count = 0;
  for (const upstream of upstreams) {
    count += upstream.runs.filter((run) => run.callId === callId).length;
  }
  return count;
}
