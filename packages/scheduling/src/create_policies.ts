/** Creates the placement policy and the queue order named in the settings. */

import type { Settings } from "@mallowlift/core";
import { ExpectedFinish } from "./expected_finish.ts";
import { LeastLoaded } from "./least_loaded.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import {
  FirstComeFirstServed,
  LeastAttainedService,
  type QueueOrder,
} from "./queue_order.ts";
import { RoundRobin } from "./round_robin.ts";

/** Creates the placement policy of a replica. */
export function createPlacementPolicy(
  settings: Settings["replica"],
): PlacementPolicy {
  if (settings.placement === "round_robin") return new RoundRobin();
  if (settings.placement === "least_loaded") return new LeastLoaded();
  if (settings.placement === "prefix_affinity") return new PrefixAffinity();
  return new ExpectedFinish(settings.cacheWeight);
}

/** Creates the queue order of a sidecar. */
export function createQueueOrder(settings: Settings["sidecar"]): QueueOrder {
  return settings.order === "first_come"
    ? new FirstComeFirstServed()
    : new LeastAttainedService();
}
