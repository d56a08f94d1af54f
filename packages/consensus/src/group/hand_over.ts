/** Passes a leadership on before a planned stop. */

import { performance } from "node:perf_hooks";
import { type HandoverRequest, type Member, sleep } from "@mallowlift/core";
import type { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";
import type { Leadership } from "./leadership.ts";
import type { Membership } from "./membership.ts";

/** Longest time for which a leader that stops looks for a successor, ms. */
const HANDOVER_MILLISECONDS = 2_000;

/** What a leader that hands over knows of its group. */
export interface HandOverParts {
  readonly options: GroupOptions;
  readonly log: GroupLog;
  readonly membership: Membership;
}

/** Asks a voter that has everything to take over, until one has or time is up. */
export async function handOverLeadership(
  leadership: Leadership,
  parts: HandOverParts,
): Promise<void> {
  const { options } = parts;
  const deadline = performance.now() + HANDOVER_MILLISECONDS;
  while (!leadership.isOver && performance.now() < deadline) {
    const successor = findSuccessor(leadership, parts);
    if (successor !== undefined) {
      await callSuccessor(successor, leadership.term, parts);
    }
    await sleep(options.timing.heartbeatMilliseconds / 2);
  }
}

function findSuccessor(
  leadership: Leadership,
  parts: HandOverParts,
): Member | undefined {
  const { log, membership } = parts;
  for (const voter of membership.voters) {
    const peer = leadership.findPeer(voter);
    if (peer !== undefined && peer.matchIndex >= log.lastIndex) return voter;
  }
  return undefined;
}

async function callSuccessor(
  successor: Member,
  term: number,
  parts: HandOverParts,
): Promise<void> {
  const { options, log } = parts;
  const request: HandoverRequest = {
    group: options.group,
    term,
    from: options.identity,
    toIncarnation: successor.incarnation,
    lastIndex: log.lastIndex,
  };
  await options.findPeer(successor).call("consensus.handover", request, {
    timeoutMilliseconds: options.timing.electionMilliseconds,
  });
}
