/**
 * Transfers the leadership to another voter before a planned stop or
 * retirement.
 */

import { performance } from "node:perf_hooks";
import { type HandoverRequest, type Member, sleep } from "@mallowlift/core";
import type { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";
import type { Leadership } from "./leadership.ts";
import type { Membership } from "./membership.ts";

/** Time after which the leader gives up the transfer, ms. */
const HANDOVER_TIMEOUT_MILLISECONDS = 2_000;

/** Dependencies of {@linkcode handOverLeadership}. */
export interface HandOverParts {
  readonly options: GroupOptions;
  readonly log: GroupLog;
  readonly membership: Membership;
}

/**
 * Asks a voter with a complete log to stand for election, and repeats this
 * until the leadership has ended or the timeout is reached.
 */
export async function handOverLeadership(
  leadership: Leadership,
  parts: HandOverParts,
): Promise<void> {
  const { options } = parts;
  const deadline = performance.now() + HANDOVER_TIMEOUT_MILLISECONDS;
  while (!leadership.isOver && performance.now() < deadline) {
    const successor = findSuccessor(leadership, parts);
    if (successor !== undefined) {
      await requestHandover(successor, leadership.term, parts);
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

async function requestHandover(
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
