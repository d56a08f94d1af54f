/** The work behind the routes of programs and histories. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import type { Outfit } from "@mallowlift/configuration";
import {
  deriveProgramId,
  END_REASONS,
  fail,
  type HandlerName,
  hashText,
  type InternalHandlers,
  type Outcome,
  type ProgramSpec,
  RESULT_CODES,
  serializeStable,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { EntryParts } from "../entry_parts.ts";
import { answerError, answerValue, refuse } from "../http/answer.ts";
import { authenticateOutfit } from "../http/authentication.ts";
import { checkBody } from "../http/check_body.ts";
import {
  CREATE_PROGRAM_SCHEMA,
  type CreateProgramBody,
} from "./caller_schemas.ts";
import { checkCaller, checkReady, readProgramId } from "./check_caller.ts";
import { describeProgram, describeTurn } from "./describe_program.ts";

const DEFAULT_DEADLINE_MILLISECONDS = 24 * 3_600_000;
const DEFAULT_LEASE_MILLISECONDS = 600_000;
const DEFAULT_TURNS = 1_000;
const DEFAULT_TOKENS = 10_000_000;
const SHORT_CALL_MILLISECONDS = 5_000;
const HISTORY_LIMIT = 100;
const HTTP_CREATED = 201;

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
  return await answerFromOwner(parts, toolkit, {
    programId,
    name: "programs.read",
    request: { programId, outfit: outfit.name },
    describe: describeProgram,
  });
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
  return await answerFromOwner(parts, toolkit, {
    programId,
    name: "programs.history",
    request: { programId, outfit: outfit.name, fromTurn, limit: HISTORY_LIMIT },
    describe: (page) => ({
      program: describeProgram(page.program),
      turns: page.turns.map(describeTurn),
    }),
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
  return await answerFromOwner(parts, toolkit, {
    programId,
    name: "programs.end",
    request: { programId, outfit: outfit.name, reason: END_REASONS.CALLER },
    describe: describeProgram,
  });
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
  return await answerFromOwner(parts, toolkit, {
    programId,
    name: "programs.create",
    request: { programId, spec: spec.val },
    describe: describeProgram,
    status: HTTP_CREATED,
  });
}

/** Asks the owner of a program, and answers with what it says. */
async function answerFromOwner<N extends HandlerName>(
  parts: EntryParts,
  toolkit: ResponseToolkit,
  question: {
    readonly programId: string;
    readonly name: N;
    readonly request: InternalHandlers[N]["request"];
    readonly describe: (reply: InternalHandlers[N]["reply"]) => object;
    readonly status?: number;
  },
): Promise<ResponseObject> {
  const { programId, name, request, describe, status } = question;
  const reply = await parts.owners.call(parts.findGroup(programId), {
    name,
    createRequest: () => request,
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS });
  if (reply.err) return answerError(toolkit, reply.val, "owner");
  return answerValue(toolkit, describe(reply.val), status);
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
