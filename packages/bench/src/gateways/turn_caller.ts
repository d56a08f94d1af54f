/** Asks for turns at a test site, and looks at what upstreams ran. */

import { sleep } from "@mallowlift/core";
import { callGateway, type CallSeen } from "./gateway_caller.ts";
import type { TestSite } from "./start_test_site.ts";

/** Asks for a turn of a program whose history is kept. */
export function askTurn(
  { site }: TestSite,
  turn: {
    readonly id: string;
    readonly previous?: string;
    readonly gateway?: number;
    readonly budget?: number;
    readonly program?: string;
  },
): Promise<CallSeen> {
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
    },
  });
}

/** Asks again for as long as the answer promises that nothing ran. */
export async function askTurnUntilServed(
  running: TestSite,
  turn: Parameters<typeof askTurn>[1],
): Promise<CallSeen> {
  for (let round = 0; round < 100; round++) {
    const seen = await askTurn(running, { ...turn, id: `${turn.id}-${round}` });
    if (seen.status === 200 && seen.whole) return seen;
    await sleep(100);
  }
  throw new Error("The turn was never served");
}

/** What an upstream got as the prompt of a call. */
export function findPrompt({ upstreams }: TestSite, callId: string): string {
  for (const upstream of upstreams) {
    for (const run of upstream.runs) if (run.callId === callId) return run.body;
  }
  return "not run";
}

/** How often upstreams ran a call. */
export function countRuns({ upstreams }: TestSite, callId: string): number {
  let count = 0;
  for (const upstream of upstreams) {
    count += upstream.runs.filter((run) => run.callId === callId).length;
  }
  return count;
}
