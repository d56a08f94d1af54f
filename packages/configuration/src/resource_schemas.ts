/** Schemas of the specs of all resource kinds. */

import Joi from "joi";
import {
  fail,
  type Outcome,
  RESOURCE_KINDS,
  type ResourceKind,
  type ResourceSpecs,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const MAX_LIST_LENGTH = 256;
const MAX_TOKENS = 1_000_000_000;

const name = Joi.string().pattern(NAME_PATTERN, "resource name");
const names = Joi.array().items(name).max(MAX_LIST_LENGTH).unique().default([]);
const version = Joi.string().min(1).max(64).default("1");

const SCHEMAS: Readonly<Record<ResourceKind, Joi.ObjectSchema>> = {
  upstream: Joi.object({
    type: Joi.string().valid("model", "service").required(),
    models: names,
    service: name.default("none"),
    role: Joi.string().valid("mixed", "prefill", "decode").default("mixed"),
    drain: Joi.boolean().strict().default(false),
  }),
  model: Joi.object({
    version,
    context_tokens: Joi.number().strict().integer().min(1).max(MAX_TOKENS)
      .default(262_144),
  }),
  adapter: Joi.object({ model: name.required(), version }),
  service: Joi.object({ idempotent_operations: names }),
  outfit: Joi.object({
    token_sha256: Joi.array().items(Joi.string().hex().length(64)).min(1).max(
      16,
    ).required(),
    models: names,
    services: names,
    priorities: names,
  }),
  budget: Joi.object({
    outfit: name.required(),
    tokens_per_program: Joi.number().strict().integer().min(1).max(MAX_TOKENS)
      .required(),
    turns_per_program: Joi.number().strict().integer().min(1).max(100_000)
      .default(1_000),
  }),
  priority: Joi.object({
    level: Joi.number().strict().integer().min(0).max(100).required(),
  }),
};

/** Returns the resource kind with this name, or undefined. */
export function findResourceKind(text: string): ResourceKind | undefined {
  return Object.values(RESOURCE_KINDS).find((kind) => kind === text);
}

/** Returns true if the text is a valid resource name. */
export function isResourceName(text: string): boolean {
  return NAME_PATTERN.test(text);
}

/**
 * Validates a spec and fills in defaults.
 *
 * @returns the completed spec, or INVALID_FIELD
 *
 * @example
 * ```ts
 * checkSpec("priority", { level: 5 }).unwrap(); // { level: 5 }
 * checkSpec("priority", { level: -1 }).err; // true, INVALID_FIELD
 * ```
 */
export function checkSpec<K extends ResourceKind>(
  kind: K,
  spec: unknown,
): Outcome<ResourceSpecs[K]> {
  const checked = SCHEMAS[kind].required().validate(spec, {
    abortEarly: false,
    convert: false,
  });
  if (checked.error === undefined) return Ok(checked.value as ResourceSpecs[K]);
  return fail(RESULT_CODES.INVALID_FIELD, checked.error.message);
}
