/** Handlers of the routes that run model and service calls. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import { RESULT_CODES } from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";
import { answerError, answerValue, refuse } from "../http/answer.ts";
import {
  createModelAnswerBody,
  createServiceAnswerBody,
  findRecordedFailure,
} from "./call_answers.ts";
import { MODEL_CALL_SCHEMA, SERVICE_CALL_SCHEMA } from "./caller_schemas.ts";
import { checkCallerBody } from "./check_caller.ts";
import { answerOwnerError, type PreparedCall, runCall } from "./run_call.ts";
import { streamModelCall } from "./stream_call.ts";

/** Runs a model call and answers with the whole text or a stream. */
export async function callModel(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject | symbol> {
  const checked = checkCallerBody(context, request, MODEL_CALL_SCHEMA);
  if (checked.err) return refuse(context, toolkit, checked.val);
  const { outfit, programId, body } = checked.val;
  if (!outfit.spec.models.includes(body.model)) {
    const message = "The outfit may not use this model";
    return refuse(context, toolkit, {
      code: RESULT_CODES.NOT_ALLOWED,
      message,
    });
  }
  const call: PreparedCall = {
    outfit: outfit.name,
    programId,
    requestId: body.request_id,
    body: {
      kind: "model",
      model: body.model,
      messages: body.messages,
      maxTokens: body.max_tokens,
    },
  };
  if (body.stream) {
    return await streamModelCall(context, {
      request,
      toolkit,
      call,
      model: body.model,
    });
  }
  const reply = await runCall(context, {
    call,
    signal: context.requests.getSignal(request),
  });
  if (reply.err) {
    return answerOwnerError(context, { request, toolkit, error: reply.val });
  }
  const failure = findRecordedFailure(reply.val);
  if (failure !== undefined) return answerError(toolkit, failure, "owner");
  return answerValue(
    toolkit,
    createModelAnswerBody(call, body.model, reply.val),
  );
}

/** Runs a service call. */
export async function callService(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCallerBody(context, request, SERVICE_CALL_SCHEMA);
  if (checked.err) return refuse(context, toolkit, checked.val);
  const { outfit, programId, body } = checked.val;
  const service = String(request.params.service);
  const resource = context.follower.view.find("service", service);
  if (resource === undefined || !outfit.spec.services.includes(service)) {
    const message = "The outfit may not use this service";
    return refuse(context, toolkit, {
      code: RESULT_CODES.NOT_ALLOWED,
      message,
    });
  }
  const idempotent = resource.spec.idempotent_operations.includes(
    body.operation,
  );
  const call: PreparedCall = {
    outfit: outfit.name,
    programId,
    requestId: body.request_id,
    body: {
      kind: "service",
      service,
      operation: body.operation,
      payload: JSON.stringify(body.payload),
      idempotent,
    },
  };
  const reply = await runCall(context, {
    call,
    signal: context.requests.getSignal(request),
  });
  if (reply.err) {
    return answerOwnerError(context, { request, toolkit, error: reply.val });
  }
  const failure = findRecordedFailure(reply.val);
  if (failure !== undefined) return answerError(toolkit, failure, "owner");
  return answerValue(toolkit, createServiceAnswerBody(call, reply.val));
}
