/** Metrics of the time that snapshots take. */

import type { GroupOptions } from "./group_options.ts";

/** Operations on a snapshot. */
export const SNAPSHOT_KINDS = {
  WRITTEN: "written",
  INSTALLED: "installed",
  SENT: "sent",
} as const;

/** One of {@linkcode SNAPSHOT_KINDS}. */
export type SnapshotKind = typeof SNAPSHOT_KINDS[keyof typeof SNAPSHOT_KINDS];

/**
 * Records the duration of one operation on a snapshot.
 *
 * @example
 * ```ts
 * recordSnapshotTime(options, { kind: SNAPSHOT_KINDS.SENT, milliseconds: 900 });
 * ```
 */
export function recordSnapshotTime(
  options: Pick<GroupOptions, "group" | "metrics">,
  done: { readonly kind: SnapshotKind; readonly milliseconds: number },
): void {
  const { group, metrics } = options;
  metrics.snapshotSeconds.observe(
    { group, kind: done.kind },
    done.milliseconds / 1_000,
  );
}
