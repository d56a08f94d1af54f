/** Notifies gateways of changes to the routing document and the instance list. */

import { performance } from "node:perf_hooks";
import type { ReplicatedGroup } from "@mallowlift/consensus";
import {
  fail,
  type FollowReply,
  type FollowRequest,
  type Outcome,
  RESULT_CODES,
  type WakeSignal,
} from "@mallowlift/core";
import type { SiteState } from "@mallowlift/sessions";
import { Ok } from "ts-results";
import type { InstanceReader } from "./instance_reader.ts";
import { FullListLimiter } from "./full_list_limiter.ts";

/** Interval at which a deferred gateway checks whether it may get the full list. */
const FULL_LIST_POLL_MILLISECONDS = 20;

/** Whether and when a gateway is sent an update of the instance list. */
const LIST_DELIVERIES = {
  NONE: "none",
  NOW: "now",
  /** The gateway needs the full list, and too many others are being sent it. */
  LATER: "later",
} as const;

type ListDelivery = typeof LIST_DELIVERIES[keyof typeof LIST_DELIVERIES];

/** Dependencies of a {@linkcode FollowOwner}. */
export interface FollowOwnerOptions {
  readonly state: SiteState;
  readonly reader: InstanceReader;
  /** Woken when the document or the instance list has changed. */
  readonly changed: WakeSignal;
  readonly getGroup: () => ReplicatedGroup | undefined;
  readonly isLeading: () => boolean;
}

/** Answers long polls of gateways while this store leads. */
export class FollowOwner {
  readonly #options: FollowOwnerOptions;
  readonly #fullListLimiter = new FullListLimiter();

  constructor(options: FollowOwnerOptions) {
    this.#options = options;
  }

  /** Returns what has changed, at once or within the hold time of the request. */
  async follow(
    request: FollowRequest,
    signal: AbortSignal,
  ): Promise<Outcome<FollowReply>> {
    const { state, changed, isLeading } = this.#options;
    const receivedAt = performance.now();
    const holdUntil = receivedAt + request.holdMilliseconds;
    const heldReadAt = receivedAt - (request.listAgeMilliseconds ?? Infinity);
    this.#fullListLimiter.release(request.daemon);
    while (isLeading() && !signal.aborted) {
      const now = performance.now();
      const delivery = this.#decideListDelivery(request, heldReadAt, now);
      const isReady = state.documentVersion > request.documentVersion ||
        delivery === LIST_DELIVERIES.NOW;
      if (isReady || now >= holdUntil) {
        return Ok(this.#createReply(request, { delivery, receivedAt, now }));
      }
      const pause = delivery === LIST_DELIVERIES.LATER
        ? FULL_LIST_POLL_MILLISECONDS
        : Infinity;
      await changed.wait(Math.min(holdUntil - now, pause));
    }
    return fail(RESULT_CODES.NOT_LEADER, "This store is not the leader");
  }

  #createReply(
    request: FollowRequest,
    details: {
      readonly delivery: ListDelivery;
      readonly receivedAt: number;
      readonly now: number;
    },
  ): FollowReply {
    const { state, reader, getGroup } = this.#options;
    const { delivery, receivedAt, now } = details;
    const confirmedAt = getGroup()?.findConfirmedAt(now) ?? -Infinity;
    return {
      documentVersion: state.documentVersion,
      confirmedMilliseconds: confirmedAt - receivedAt,
      ...(delivery === LIST_DELIVERIES.NOW
        ? reader.createReply(request.listRevision, now)
        : reader.createReplyWithoutUpdate(now)),
    };
  }

  /**
   * Decides whether to send the list: the gateway must hold another revision
   * that was read earlier, and a full list must fit the limit of sends in flight.
   */
  #decideListDelivery(
    request: FollowRequest,
    heldReadAt: number,
    now: number,
  ): ListDelivery {
    const { reader } = this.#options;
    const { list } = reader;
    const isNewer = list !== undefined &&
      list.revision !== request.listRevision && reader.readAt > heldReadAt;
    if (!isNewer) return LIST_DELIVERIES.NONE;
    if (!reader.needsFullList(request.listRevision)) return LIST_DELIVERIES.NOW;
    return this.#fullListLimiter.tryAcquire(request.daemon, now)
      ? LIST_DELIVERIES.NOW
      : LIST_DELIVERIES.LATER;
  }
}
