/** Reads the reports of an engine, which may have any content. */

import type { UpstreamLoad } from "./upstream_client.ts";

/** Tokens of a session that the engine has cached or dropped. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly session: string;
  readonly tokens: number;
}

type Fields = { readonly [name: string]: unknown };

/**
 * Reads the loaded models and the step time; undefined if they are malformed.
 *
 * @throws {SyntaxError} if the text is not JSON
 */
export function parseLoad(text: string): UpstreamLoad | undefined {
  const { models, step_milliseconds: stepMilliseconds } = parseFields(text);
  const isValid = isTextList(models) && isPositive(stepMilliseconds);
  return isValid ? { models, stepMilliseconds } : undefined;
}

/**
 * Reads the cache events, without malformed ones.
 *
 * @throws {SyntaxError} if the text is not JSON
 */
export function parseCacheEvents(text: string): readonly EngineCacheEvent[] {
  const { events } = parseFields(text);
  return Array.isArray(events) ? events.filter(isCacheEvent) : [];
}

/**
 * Reads the programs with cached tokens; empty if they are malformed.
 *
 * @throws {SyntaxError} if the text is not JSON
 */
export function parseSessions(text: string): readonly string[] {
  const { sessions } = parseFields(text);
  return isTextList(sessions) ? sessions : [];
}

function parseFields(text: string): Fields {
  const value: unknown = JSON.parse(text);
  return typeof value === "object" && value !== null ? value as Fields : {};
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) &&
    value.every((item) => typeof item === "string");
}

function isPositive(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value > 0;
}

function isCacheEvent(value: unknown): value is EngineCacheEvent {
  if (typeof value !== "object" || value === null) return false;
  const { sequence, session, tokens } = value as Fields;
  return typeof sequence === "number" && typeof session === "string" &&
    typeof tokens === "number";
}
