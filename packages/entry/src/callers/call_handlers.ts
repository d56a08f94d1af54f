/** The work behind the routes that make calls. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import { RESULT_CODES } from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";
import { answerError, answerValue, refuse } from "../http/answer.ts";
import {
  describeModelAnswer,
  describeServiceAnswer,
  findRecordedFailure,
} from "./call_answers.ts";
import { MODEL_CALL_SCHEMA, SERVICE_CALL_SCHEMA } from "./caller_schemas.ts";
import { checkCallerBody } from "./check_caller.ts";
import {
  type PreparedCall,
  refuseByOwner,
  runCall,
  watchCaller,
} from "./run_call.ts";
import { streamModelCall } from "./stream_call.ts";

/** Calls a model, whole or streamed. */
export async function callModel(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject | symbol> {
  const checked = checkCallerBody(parts, request, MODEL_CALL_SCHEMA);
  if (checked.err) return refuse(parts, toolkit, checked.val);
  const { outfit, programId, body } = checked.val;
  if (!outfit.spec.models.includes(body.model)) {
    const message = "The outfit may not use this model";
    return refuse(parts, toolkit, { code: RESULT_CODES.NOT_ALLOWED, message });
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
    return await streamModelCall(parts, {
      request,
      toolkit,
      call,
      model: body.model,
    });
  }
  const reply = await runCall(parts, { call, signal: watchCaller(request) });
  if (reply.err) return refuseByOwner(toolkit, reply.val);
  const failure = findRecordedFailure(reply.val);
  if (failure !== undefined) return answerError(toolkit, failure, "owner");
  return answerValue(toolkit, describeModelAnswer(call, body.model, reply.val));
}

/** Calls a plain service. */
export async function callService(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCallerBody(parts, request, SERVICE_CALL_SCHEMA);
  if (checked.err) return refuse(parts, toolkit, checked.val);
  const { outfit, programId, body } = checked.val;
  const service = String(request.params.service);
  const resource = parts.follower.view.find("service", service);
  if (resource === undefined || !outfit.spec.services.includes(service)) {
    const message = "The outfit may not use this service";
    return refuse(parts, toolkit, { code: RESULT_CODES.NOT_ALLOWED, message });
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
  const reply = await runCall(parts, { call, signal: watchCaller(request) });
  if (reply.err) return refuseByOwner(toolkit, reply.val);
  const failure = findRecordedFailure(reply.val);
  if (failure !== undefined) return answerError(toolkit, failure, "owner");
  return answerValue(toolkit, describeServiceAnswer(call, reply.val));
}
