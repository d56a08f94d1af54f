/** Checks the JSON bodies of callers and operators. */

import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type Joi from "joi";
import { Ok } from "ts-results";

/** Checks a body against its schema; all mistakes are named, no content is quoted. */
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
  const mistakes = checked.error.details.map((detail) => {
    const path = detail.path.length === 0 ? "body" : detail.path.join(".");
    return `${path}: ${detail.type}`;
  });
  return fail(
    RESULT_CODES.INVALID_FIELD,
    `Not allowed: ${mistakes.join("; ")}`,
  );
}
