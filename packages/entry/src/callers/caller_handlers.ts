/** The work behind the callers' routes. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import type { Outfit } from "@mallowlift/configuration";
import {
  ABORTED,
  type CallBody,
  type CodedError,
  countRefusal,
  deriveProgramId,
  END_REASONS,
  fail,
  findProgramGroup,
  hashText,
  type HistoryTurn,
  type Outcome,
  type ProgramSpec,
  type ProgramView,
  RESULT_CODES,
  type RunCallReply,
  serializeStable,
} from "@mallowlift/core";
import type Joi from "joi";
import { Ok } from "ts-results";
import type { EntryParts } from "../entry_parts.ts";
import { answerError, answerValue, createErrorBody } from "../http/answer.ts";
import { authenticateOutfit } from "../http/authentication.ts";
import { checkBody } from "../http/check_body.ts";
import { EventOutput } from "../http/event_output.ts";
import {
  describeModelAnswer,
  describeServiceAnswer,
  findRecordedFailure,
} from "./call_answers.ts";
import {
  CREATE_PROGRAM_SCHEMA,
  type CreateProgramBody,
  MODEL_CALL_SCHEMA,
  type ModelCallBody,
  SERVICE_CALL_SCHEMA,
} from "./caller_schemas.ts";
import { StreamFollower, TELL_LIMIT_MILLISECONDS } from "./follow_stream.ts";

const DEFAULT_DEADLINE_MILLISECONDS = 24 * 3_600_000;
const DEFAULT_LEASE_MILLISECONDS = 600_000;
const DEFAULT_TURNS = 1_000;
const DEFAULT_TOKENS = 10_000_000;
const SHORT_CALL_MILLISECONDS = 5_000;
const LONG_CALL_MILLISECONDS = 2_000_000_000;
const HISTORY_LIMIT = 100;
const CHUNK_ENDING = `},"finish_reason":null}]}`;
const END_MARK = "[DONE]";
const PROGRAM_ID_PATTERN = /^p[0-9a-f]{24}(-[0-9a-f]{24})?$/;

/** A checked request of an outfit. */
interface CallerRequest<T> {
  readonly outfit: Outfit;
  readonly programId: string;
  readonly body: T;
}

/** A call that is ready to be sent to its owner. */
interface PreparedCall {
  readonly outfit: string;
  readonly programId: string;
  readonly requestId: string;
  readonly body: CallBody;
}

/** Creates a root program. */
export async function createProgram(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  return await createProgramBelow(parts, { request, toolkit });
}

/** Creates a child of a program. */
export async function createChild(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const parent = readProgramId(request);
  if (parent.err) return refuse(parts, toolkit, parent.val);
  return await createProgramBelow(parts, {
    request,
    toolkit,
    parent: parent.val,
  });
}

/** Reads a program. */
export async function readProgram(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCaller(parts, request);
  if (checked.err) return refuse(parts, toolkit, checked.val);
  const { outfit, programId } = checked.val;
  const found = await parts.owners.call(parts.findGroup(programId), {
    name: "programs.read",
    createRequest: () => ({ programId, outfit: outfit.name }),
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS });
  if (found.err) return answerError(toolkit, found.val, "owner");
  return answerValue(toolkit, describeProgram(found.val));
}

/** Reads a part of a program's history. */
export async function readHistory(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCaller(parts, request);
  if (checked.err) return refuse(parts, toolkit, checked.val);
  const fromTurn = Number(request.query.from ?? 1);
  if (!Number.isSafeInteger(fromTurn) || fromTurn < 1) {
    const message = "Not allowed: from must be a whole number from 1";
    return refuse(parts, toolkit, {
      code: RESULT_CODES.INVALID_FIELD,
      message,
    });
  }
  const { outfit, programId } = checked.val;
  const page = await parts.owners.call(parts.findGroup(programId), {
    name: "programs.history",
    createRequest: () => ({
      programId,
      outfit: outfit.name,
      fromTurn,
      limit: HISTORY_LIMIT,
    }),
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS });
  if (page.err) return answerError(toolkit, page.val, "owner");
  const turns = page.val.turns.map(describeTurn);
  return answerValue(toolkit, {
    program: describeProgram(page.val.program),
    turns,
  });
}

/** Ends a program and its children. */
export async function endProgram(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCaller(parts, request);
  if (checked.err) return refuse(parts, toolkit, checked.val);
  const { outfit, programId } = checked.val;
  const ended = await parts.owners.call(parts.findGroup(programId), {
    name: "programs.end",
    createRequest: () => ({
      programId,
      outfit: outfit.name,
      reason: END_REASONS.CALLER,
    }),
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS });
  if (ended.err) return answerError(toolkit, ended.val, "owner");
  return answerValue(toolkit, describeProgram(ended.val));
}

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

async function createProgramBelow(
  parts: EntryParts,
  options: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly parent?: string;
  },
): Promise<ResponseObject> {
  const { request, toolkit, parent } = options;
  const ready = checkReady(parts);
  if (ready.err) return refuse(parts, toolkit, ready.val);
  const outfit = authenticateOutfit(request, parts.follower.view);
  if (outfit.err) return refuse(parts, toolkit, outfit.val);
  const body = checkBody(CREATE_PROGRAM_SCHEMA, request.payload);
  if (body.err) return refuse(parts, toolkit, body.val);
  const spec = describeSpec(parts, {
    outfit: outfit.val,
    body: body.val,
    parent,
  });
  if (spec.err) return refuse(parts, toolkit, spec.val);
  const programId = deriveProgramId(spec.val);
  const created = await parts.owners.call(parts.findGroup(programId), {
    name: "programs.create",
    createRequest: () => ({ programId, spec: spec.val }),
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS });
  if (created.err) return answerError(toolkit, created.val, "owner");
  return answerValue(toolkit, describeProgram(created.val), 201);
}

function describeSpec(
  parts: EntryParts,
  source: {
    readonly outfit: Outfit;
    readonly body: CreateProgramBody;
    readonly parent?: string;
  },
): Outcome<ProgramSpec> {
  const { outfit, body, parent } = source;
  const { view } = parts.follower;
  const limits = view.findLimits(outfit.name);
  let priority: number | undefined;
  if (body.priority !== undefined) {
    const resource = view.find("priority", body.priority);
    if (
      resource === undefined || !outfit.spec.priorities.includes(body.priority)
    ) {
      return fail(
        RESULT_CODES.NOT_ALLOWED,
        "The outfit may not use this priority",
      );
    }
    priority = resource.spec.level;
  }
  return Ok({
    outfit: outfit.name,
    requestId: body.request_id,
    parent,
    askedDigest: hashText(serializeStable(body)),
    priority,
    tokenBudget: Math.min(body.token_budget ?? DEFAULT_TOKENS, limits.tokens),
    turnLimit: Math.min(body.turn_limit ?? DEFAULT_TURNS, limits.turns),
    deadlineMilliseconds: body.deadline_ms ?? DEFAULT_DEADLINE_MILLISECONDS,
    leaseMilliseconds: body.lease_ms ?? DEFAULT_LEASE_MILLISECONDS,
  });
}

async function runCall(
  parts: EntryParts,
  options: {
    readonly call: PreparedCall;
    readonly signal: AbortSignal;
    readonly follower?: StreamFollower;
  },
): Promise<Outcome<RunCallReply>> {
  const { call, signal, follower } = options;
  const stream = follower !== undefined;
  return await parts.owners.call(parts.findGroup(call.programId), {
    name: "calls.run",
    // Made anew for each owner, which needs the text told so far.
    createRequest: () => ({ ...call, stream, told: follower?.told ?? "" }),
  }, {
    timeoutMilliseconds: LONG_CALL_MILLISECONDS,
    signal,
    onChunk: (event) => follower?.takeEvent(event),
  });
}

async function streamModelCall(
  parts: EntryParts,
  options: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly call: PreparedCall;
    readonly model: string;
  },
): Promise<ResponseObject | symbol> {
  const { request, toolkit, call, model } = options;
  const output = new EventOutput(request.raw.res);
  const signal = watchCaller(request);
  const beginning = describeChunkBeginning(call, model);
  const follower = new StreamFollower({
    findSidecar: (address) => parts.links.get(address),
    sendTold: (told) =>
      parts.owners.call(parts.findGroup(told.programId), {
        name: "calls.told",
        createRequest: () => told,
      }, { timeoutMilliseconds: TELL_LIMIT_MILLISECONDS }),
    onText: (text) =>
      output.writeText(`${beginning}${JSON.stringify(text)}${CHUNK_ENDING}`),
    signal,
  });
  const closeStream = parts.openStreams.open();
  const reply = await runCall(parts, { call, signal, follower });
  const failure = findStreamFailure(reply, follower);
  closeStream();
  // A refusal before the first text has a status of its own.
  if (failure !== undefined && !output.isOpen) {
    return refuseByOwner(toolkit, failure);
  }
  if (failure !== undefined) {
    output.writeText(JSON.stringify(createErrorBody(failure, "owner")));
  } else if (reply.ok) {
    const answer = describeModelAnswer(call, model, reply.val);
    output.writeText(JSON.stringify(answer));
    output.writeText(END_MARK);
  }
  output.end();
  return toolkit.abandon;
}

function findStreamFailure(
  reply: Outcome<RunCallReply>,
  follower: StreamFollower,
): CodedError | undefined {
  if (reply.err) return reply.val;
  const failure = findRecordedFailure(reply.val);
  if (failure !== undefined) return failure;
  if (follower.finish(reply.val.answer.text)) return undefined;
  const code = RESULT_CODES.STREAM_BROKEN;
  return { code, message: code.meaning };
}

/** Everything of a chunk before its text; the same for all chunks of a call. */
function describeChunkBeginning(call: PreparedCall, model: string): string {
  const id = JSON.stringify(call.requestId);
  return `{"id":${id},"object":"chat.completion.chunk",` +
    `"model":${
      JSON.stringify(model)
    },"choices":[{"index":0,"delta":{"content":`;
}

function describeProgram(program: ProgramView): object {
  return {
    program: program.programId,
    parent: program.parent,
    priority: program.priority,
    token_budget: program.tokenBudget,
    tokens_used: program.tokensUsed,
    tokens_reserved: program.tokensReserved,
    turn_limit: program.turnLimit,
    turns: program.turns,
    deadline: new Date(program.deadlineAt).toISOString(),
    ended: program.ended,
    digest: program.digest,
  };
}

function describeTurn(turn: HistoryTurn): object {
  const { body } = turn;
  const call = body.kind === "model"
    ? { kind: "model", model: body.model, messages: body.messages }
    : {
      kind: "service",
      service: body.service,
      operation: body.operation,
      payload: JSON.parse(body.payload) as unknown,
    };
  return {
    turn: turn.turn,
    request_id: turn.requestId,
    ...call,
    max_tokens: body.kind === "model" ? body.maxTokens : undefined,
    idempotent: body.kind === "service" ? body.idempotent : undefined,
    code: turn.code,
    answer: turn.answer,
    digest: turn.digest,
  };
}

function checkReady(parts: EntryParts): Outcome<void> {
  if (parts.isDraining()) {
    return fail(RESULT_CODES.DRAINING, "This entry is leaving", 100);
  }
  if (parts.isFresh()) return Ok(undefined);
  return fail(
    RESULT_CODES.CONFIGURATION_STALE,
    "This entry cannot confirm its configuration",
    1_000,
  );
}

function checkCaller(
  parts: EntryParts,
  request: Request,
): Outcome<CallerRequest<undefined>> {
  const ready = checkReady(parts);
  if (ready.err) return ready;
  const outfit = authenticateOutfit(request, parts.follower.view);
  if (outfit.err) return outfit;
  const programId = readProgramId(request);
  if (programId.err) return programId;
  return Ok({ outfit: outfit.val, programId: programId.val, body: undefined });
}

function checkCallerBody<T extends ModelCallBody | object>(
  parts: EntryParts,
  request: Request,
  schema: Joi.ObjectSchema<T>,
): Outcome<CallerRequest<T>> {
  const caller = checkCaller(parts, request);
  if (caller.err) return caller;
  const body = checkBody(schema, request.payload);
  if (body.err) return body;
  return Ok({ ...caller.val, body: body.val });
}

function readProgramId(request: Request): Outcome<string> {
  const programId = String(request.params.program);
  if (PROGRAM_ID_PATTERN.test(programId)) return Ok(programId);
  return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "There is no such program");
}

/** Aborts when the caller goes away; an accepted call goes on without it. */
function watchCaller(request: Request): AbortSignal {
  const gone = new AbortController();
  request.raw.res.once("close", () => gone.abort(ABORTED));
  return gone.signal;
}

function refuse(
  parts: EntryParts,
  toolkit: ResponseToolkit,
  error: CodedError,
): ResponseObject {
  countRefusal(parts.metrics, "entry", error.code);
  return answerError(toolkit, error);
}

function refuseByOwner(
  toolkit: ResponseToolkit,
  error: CodedError,
): ResponseObject {
  const byEntry = error.code === RESULT_CODES.NO_LEADER;
  return answerError(toolkit, error, byEntry ? "entry" : "owner");
}

/** Returns the group of a program. */
export function createGroupFinder(
  programGroups: number,
): (programId: string) => number {
  return (programId) => findProgramGroup(programId, programGroups);
}
