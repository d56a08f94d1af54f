/** Reads a settings file, validates it and reports every mistake in it. */

import { readFileSync } from "node:fs";
import { parse } from "ini";
import { Err, Ok, type Result } from "ts-results";
import type { Field } from "./fields.ts";
import { type Settings, SETTINGS_SCHEMA } from "./schema.ts";

/** One mistake in a settings file. */
export interface SettingsMistake {
  readonly section: string;
  readonly key: string;
  /** The text in the file; empty if the key is missing. */
  readonly read: string;
  /** Describes what is allowed instead. */
  readonly allowed: string;
}

type FieldTable = Readonly<Record<string, Field<unknown>>>;
type SchemaTable = Readonly<Record<string, FieldTable>>;
type TextTable = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Converts a key of the schema to the snake_case key of the file. */
export function convertToFileKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/**
 * Parses and validates the text of a settings file and lists every mistake.
 *
 * @example
 * ```ts
 * const settings = parseSettings("[daemon]\nname = entry-1\n...");
 * if (settings.err) settings.val.forEach((m) => console.error(describeMistake(m)));
 * ```
 */
export function parseSettings(
  text: string,
): Result<Settings, readonly SettingsMistake[]> {
  const file = readSections(text);
  const schema = SETTINGS_SCHEMA as SchemaTable;
  const mistakes = findUnknownKeys(file, schema);
  const roles = (file.daemon?.roles ?? "").split(",").map((role) =>
    role.trim()
  );
  const settings: Record<string, Record<string, unknown>> = {};
  for (const [section, fields] of Object.entries(schema)) {
    const values: Record<string, unknown> = {};
    settings[section] = values;
    for (const [key, field] of Object.entries(fields)) {
      const fileKey = convertToFileKey(key);
      const read = file[section]?.[fileKey];
      const value = readField(field, read, roles);
      if (value.err) {
        mistakes.push({
          section,
          key: fileKey,
          read: read ?? "",
          allowed: field.allowed,
        });
        continue;
      }
      values[key] = value.val;
    }
  }
  if (mistakes.length > 0) return Err(mistakes);
  return Ok(settings as unknown as Settings);
}

/** Reads and validates a settings file; an unreadable file is one mistake. */
export function loadSettings(
  path: string,
): Result<Settings, readonly SettingsMistake[]> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    const read = error instanceof Error ? error.message : String(error);
    return Err([{
      section: "",
      key: "",
      read,
      allowed: "a readable INI file",
    }]);
  }
  return parseSettings(text);
}

/** Describes a mistake in one line. */
export function describeMistake(mistake: SettingsMistake): string {
  const read = mistake.read === ""
    ? "nothing was read"
    : `"${mistake.read}" was read`;
  return `[${mistake.section}] ${mistake.key}: ${read}, expected ${mistake.allowed}`;
}

function readField(
  field: Field<unknown>,
  read: string | undefined,
  roles: readonly string[],
): Result<unknown, undefined> {
  if (read !== undefined) {
    const value = field.parse(read);
    return value === undefined ? Err(undefined) : Ok(value);
  }
  if (field.fallback !== undefined) return Ok(field.fallback);
  const isRequired = field.roles === undefined ||
    field.roles.some((role) => roles.includes(role));
  if (!isRequired) return Ok("");
  return Err(undefined);
}

function readSections(text: string): TextTable {
  const parsed = parse(text) as Record<string, unknown>;
  const sections: Record<string, Record<string, string>> = {};
  for (const [section, body] of Object.entries(parsed)) {
    const values: Record<string, string> = {};
    sections[section] = values;
    if (typeof body !== "object" || body === null) {
      values[""] = String(body);
      continue;
    }
    for (const [key, value] of Object.entries(body)) {
      values[key] = String(value);
    }
  }
  return sections;
}

function findUnknownKeys(
  file: TextTable,
  schema: SchemaTable,
): SettingsMistake[] {
  const mistakes: SettingsMistake[] = [];
  for (const [section, values] of Object.entries(file)) {
    const fields = Object.hasOwn(schema, section) ? schema[section] : undefined;
    const known = Object.keys(fields ?? {}).map(convertToFileKey);
    const allowed = fields === undefined
      ? `a section named ${Object.keys(schema).join(", ")}`
      : `one of the keys ${known.join(", ")}`;
    for (const [key, read] of Object.entries(values)) {
      if (known.includes(key)) continue;
      mistakes.push({ section, key, read, allowed });
    }
  }
  return mistakes;
}
