/** Creates an instance reader with an in-memory source for tests. */

import {
  createMetrics,
  fail,
  type Outcome,
  RESULT_CODES,
  SILENT_LOGGER,
  type UpstreamInstance,
  WakeSignal,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import { InstanceReader } from "../instance_reader.ts";

/** The only instance in the list. */
export const TEST_INSTANCE: UpstreamInstance = {
  id: "u-1",
  service: "s",
  address: "127.0.0.1:1",
  failureDomain: "d",
  slots: 1,
  leaving: false,
};

/**
 * Creates a reader and its source, which counts reads and can be made to fail.
 *
 * @example
 * ```ts
 * const { reader, source } = createTestReader();
 * source.fails = true;
 * ```
 */
export function createTestReader() {
  const source = { reads: 0, fails: false };
  const changed = new WakeSignal();
  const read = (): Promise<Outcome<readonly UpstreamInstance[]>> => {
    source.reads++;
    return Promise.resolve(
      source.fails
        ? fail(RESULT_CODES.UPSTREAM_ERROR, "No list")
        : Ok([TEST_INSTANCE]),
    );
  };
  const reader = new InstanceReader({
    source: { read },
    intervalMilliseconds: 60_000,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
    onChange: () => changed.wake(),
  });
  return { reader, source, changed };
}
