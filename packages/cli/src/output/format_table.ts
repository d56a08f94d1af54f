/** Tables for people. */

const GAP = "  ";

/**
 * Lays rows out in columns.
 *
 * @example
 * ```ts
 * formatTable(["NAME", "VERSION"], [["engine-1", "3"]]);
 * // "NAME      VERSION\nengine-1  3"
 * ```
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [head, ...rows];
  const widths = head.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(GAP)
      .trimEnd()
  ).join("\n");
}
