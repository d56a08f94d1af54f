/** Makes the policies that the settings name. */

import type { Settings } from "@mallowlift/core";
import { ExpectedFinish } from "./expected_finish.ts";
import { LeastLoaded } from "./least_loaded.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import { FirstCome, LeastAttained, type QueueOrder } from "./queue_order.ts";
import { RoundRobin } from "./round_robin.ts";

/** Makes the placement policy of a replica. */
export function createPlacementPolicy(
  settings: Settings["replica"],
): PlacementPolicy {
  if (settings.placement === "round_robin") return new RoundRobin();
  if (settings.placement === "least_loaded") return new LeastLoaded();
  if (settings.placement === "prefix_affinity") return new PrefixAffinity();
  return new ExpectedFinish(settings.cacheWeight);
}

/** Makes the queue order of a sidecar. */
export function createQueueOrder(settings: Settings["sidecar"]): QueueOrder {
  return settings.order === "first_come"
    ? new FirstCome()
    : new LeastAttained();
}
