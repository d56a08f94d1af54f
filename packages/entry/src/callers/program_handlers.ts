/** Handlers of the routes that create, read and end programs. */

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
import type { EntryContext } from "../entry_context.ts";
import { answerValue, refuse } from "../http/answer.ts";
import { authenticateOutfit } from "../http/authentication.ts";
import { checkBody } from "../http/check_body.ts";
import {
  CREATE_PROGRAM_SCHEMA,
  type CreateProgramBody,
} from "./caller_schemas.ts";
import {
  checkAcceptsWork,
  checkCaller,
  readProgramId,
} from "./check_caller.ts";
import { describeProgram, describeTurn } from "./describe_program.ts";
import { answerOwnerError } from "./run_call.ts";

const DEFAULT_DEADLINE_MILLISECONDS = 24 * 3_600_000;
const DEFAULT_LEASE_MILLISECONDS = 600_000;
const DEFAULT_TURN_LIMIT = 1_000;
const DEFAULT_TOKEN_BUDGET = 10_000_000;
const OWNER_CALL_TIMEOUT_MILLISECONDS = 5_000;
const HISTORY_PAGE_TURNS = 100;
const HTTP_CREATED = 201;

/** Creates a root program. */
export async function createProgram(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  return await createProgramOrChild(context, { request, toolkit });
}

/** Creates a child of the program in the path. */
export async function createChild(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const parent = readProgramId(request);
  if (parent.err) return refuse(context, toolkit, parent.val);
  return await createProgramOrChild(context, {
    request,
    toolkit,
    parent: parent.val,
  });
}

/** Reads a program. */
export async function readProgram(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCaller(context, request);
  if (checked.err) return refuse(context, toolkit, checked.val);
  const { outfit, programId } = checked.val;
  return await answerFromOwner(context, {
    request,
    toolkit,
    programId,
    name: "programs.read",
    message: { programId, outfit: outfit.name },
    describe: describeProgram,
  });
}

/** Reads one page of a program's history, from the turn in the query on. */
export async function readHistory(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCaller(context, request);
  if (checked.err) return refuse(context, toolkit, checked.val);
  const fromTurn = Number(request.query.from ?? 1);
  if (!Number.isSafeInteger(fromTurn) || fromTurn < 1) {
    const message = "Query parameter from must be an integer of at least 1";
    return refuse(context, toolkit, {
      code: RESULT_CODES.INVALID_FIELD,
      message,
    });
  }
  const { outfit, programId } = checked.val;
  return await answerFromOwner(context, {
    request,
    toolkit,
    programId,
    name: "programs.history",
    message: {
      programId,
      outfit: outfit.name,
      fromTurn,
      limit: HISTORY_PAGE_TURNS,
    },
    describe: (page) => ({
      program: describeProgram(page.program),
      turns: page.turns.map(describeTurn),
    }),
  });
}

/** Ends a program and all its descendants. */
export async function endProgram(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const checked = checkCaller(context, request);
  if (checked.err) return refuse(context, toolkit, checked.val);
  const { outfit, programId } = checked.val;
  return await answerFromOwner(context, {
    request,
    toolkit,
    programId,
    name: "programs.end",
    message: { programId, outfit: outfit.name, reason: END_REASONS.CALLER },
    describe: describeProgram,
  });
}

async function createProgramOrChild(
  context: EntryContext,
  options: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly parent?: string;
  },
): Promise<ResponseObject> {
  const { request, toolkit, parent } = options;
  const ready = checkAcceptsWork(context);
  if (ready.err) return refuse(context, toolkit, ready.val);
  const outfit = authenticateOutfit(request, context.follower.view);
  if (outfit.err) return refuse(context, toolkit, outfit.val);
  const body = checkBody(CREATE_PROGRAM_SCHEMA, request.payload);
  if (body.err) return refuse(context, toolkit, body.val);
  const spec = createProgramSpec(context, {
    outfit: outfit.val,
    body: body.val,
    parent,
  });
  if (spec.err) return refuse(context, toolkit, spec.val);
  const programId = deriveProgramId(spec.val);
  return await answerFromOwner(context, {
    request,
    toolkit,
    programId,
    name: "programs.create",
    message: { programId, spec: spec.val },
    describe: describeProgram,
    status: HTTP_CREATED,
  });
}

/** Forwards a request to the owner of a program and converts its reply. */
async function answerFromOwner<N extends HandlerName>(
  context: EntryContext,
  query: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly programId: string;
    readonly name: N;
    readonly message: InternalHandlers[N]["request"];
    readonly describe: (reply: InternalHandlers[N]["reply"]) => object;
    readonly status?: number;
  },
): Promise<ResponseObject> {
  const { request, toolkit, programId, name, message, describe } = query;
  const reply = await context.owners.call(context.findGroup(programId), {
    name,
    createRequest: () => message,
  }, {
    timeoutMilliseconds: OWNER_CALL_TIMEOUT_MILLISECONDS,
    signal: context.requests.getSignal(request),
  });
  if (reply.err) {
    return answerOwnerError(context, { request, toolkit, error: reply.val });
  }
  return answerValue(toolkit, describe(reply.val), query.status);
}

function createProgramSpec(
  context: EntryContext,
  options: {
    readonly outfit: Outfit;
    readonly body: CreateProgramBody;
    readonly parent?: string;
  },
): Outcome<ProgramSpec> {
  const { outfit, body, parent } = options;
  const { view } = context.follower;
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
    tokenBudget: Math.min(
      body.token_budget ?? DEFAULT_TOKEN_BUDGET,
      limits.tokens,
    ),
    turnLimit: Math.min(body.turn_limit ?? DEFAULT_TURN_LIMIT, limits.turns),
    deadlineMilliseconds: body.deadline_ms ?? DEFAULT_DEADLINE_MILLISECONDS,
    leaseMilliseconds: body.lease_ms ?? DEFAULT_LEASE_MILLISECONDS,
  });
}
