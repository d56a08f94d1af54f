/** Formats plain-text tables. */

const COLUMN_GAP = "  ";

/**
 * Formats a header and rows as text with aligned columns.
 *
 * @example
 * ```ts
 * formatTable(["NAME", "VERSION"], [["engine-1", "3"]]);
 * // "NAME      VERSION\nengine-1  3"
 * ```
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(
      COLUMN_GAP,
    )
      .trimEnd()
  ).join("\n");
}
