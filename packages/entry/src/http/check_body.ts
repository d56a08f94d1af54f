/** Validates the JSON bodies of callers and operators. */

import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type Joi from "joi";
import { Ok } from "ts-results";

/**
 * Validates a body against a schema. The error lists the path and the kind of
 * every problem, and never quotes content of the body.
 *
 * @returns the body with defaults filled in, or INVALID_FIELD
 */
export function checkBody<T>(
  schema: Joi.ObjectSchema<T>,
  body: unknown,
): Outcome<T> {
  const checked = schema.required().validate(body ?? undefined, {
    abortEarly: false,
    convert: false,
    errors: { wrap: { label: '"' } },
  });
  if (checked.error === undefined) return Ok(checked.value as T);
  const problems = checked.error.details.map((detail) => {
    const path = detail.path.length === 0 ? "body" : detail.path.join(".");
    return `${path}: ${detail.type}`;
  });
  return fail(
    RESULT_CODES.INVALID_FIELD,
    `Invalid body: ${problems.join("; ")}`,
  );
}
