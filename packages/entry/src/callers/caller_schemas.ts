/** Schemas of the request bodies that callers send. */

import Joi from "joi";

const MAX_MESSAGES = 4_096;
const MAX_TOKENS = 1_000_000;
const MAX_DURATION_MILLISECONDS = 30 * 24 * 3_600_000;

const requestId = Joi.string().pattern(/^[A-Za-z0-9._:-]{1,128}$/).required();
const name = Joi.string().pattern(/^[a-z0-9][a-z0-9._-]{0,62}$/);

/** Body of a request that creates a program or a child program. */
export interface CreateProgramBody {
  readonly request_id: string;
  readonly priority?: string;
  readonly token_budget?: number;
  readonly turn_limit?: number;
  readonly deadline_ms?: number;
  readonly lease_ms?: number;
}

/** Body of a request that calls a model. */
export interface ModelCallBody {
  readonly request_id: string;
  readonly model: string;
  readonly messages: readonly {
    readonly role: string;
    readonly content: string;
  }[];
  readonly max_tokens: number;
  readonly stream: boolean;
}

/** Body of a request that calls a service. */
export interface ServiceCallBody {
  readonly request_id: string;
  readonly operation: string;
  readonly payload: unknown;
}

/** Schema of {@linkcode CreateProgramBody}. */
export const CREATE_PROGRAM_SCHEMA = Joi.object<CreateProgramBody>({
  request_id: requestId,
  priority: name,
  token_budget: Joi.number().integer().min(1).max(1_000_000_000),
  turn_limit: Joi.number().integer().min(1).max(100_000),
  deadline_ms: Joi.number().integer().min(1).max(MAX_DURATION_MILLISECONDS),
  lease_ms: Joi.number().integer().min(100).max(MAX_DURATION_MILLISECONDS),
});

/** Schema of {@linkcode ModelCallBody}. */
export const MODEL_CALL_SCHEMA = Joi.object<ModelCallBody>({
  request_id: requestId,
  model: name.required(),
  messages: Joi.array().min(1).max(MAX_MESSAGES).required().items(
    Joi.object({
      role: Joi.string().valid("system", "user", "assistant", "tool")
        .required(),
      content: Joi.string().allow("").required(),
    }),
  ),
  max_tokens: Joi.number().integer().min(1).max(MAX_TOKENS).default(1_024),
  stream: Joi.boolean().default(false),
});

/** Schema of {@linkcode ServiceCallBody}. */
export const SERVICE_CALL_SCHEMA = Joi.object<ServiceCallBody>({
  request_id: requestId,
  operation: name.required(),
  payload: Joi.any().required(),
});
