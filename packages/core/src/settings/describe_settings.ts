/** Renders the settings schema as the tables in docs/CONFIGURATION.md. */

import type { Field } from "./fields.ts";
import { convertToFileKey } from "./load_settings.ts";
import { SETTINGS_SCHEMA } from "./schema.ts";

/** Returns one Markdown table for each section of the settings file. */
export function describeSettings(): string {
  const lines: string[] = [];
  for (const [section, fields] of Object.entries(SETTINGS_SCHEMA)) {
    lines.push(`## [${section}]`, "", "| key | allowed | default | meaning |");
    lines.push("| --- | --- | --- | --- |");
    for (
      const [key, field] of Object.entries(
        fields as Record<string, Field<unknown>>,
      )
    ) {
      const cells = [
        `\`${convertToFileKey(key)}\``,
        field.allowed,
        formatDefault(field),
        field.description,
      ];
      lines.push(`| ${cells.join(" | ")} |`);
    }
    lines.push("");
  }
  return lines.join("\n");
}

function formatDefault(field: Field<unknown>): string {
  if (field.fallback !== undefined) return `\`${String(field.fallback)}\``;
  if (field.roles !== undefined) {
    return `required for ${field.roles.join(", ")}`;
  }
  return "required";
}
