/** The gateway's native dialects, which docs/API.md describes. */

import { Buffer } from "node:buffer";
import type { Server } from "@hapi/hapi";
import {
  type CodedError,
  fail,
  type Outcome,
  RESULT_CODES,
  type RoutingDocument,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type {
  AnswerFacts,
  AnswerHead,
  AttemptFacts,
  CallerDialect,
  CallFacts,
  CallHead,
  GatewayAnswer,
  OperatorActions,
  OperatorDialect,
  RawHeaders,
} from "./dialect.ts";
import { dropHopHeaders, findHeader } from "./http/headers.ts";
import { parsePromptParts } from "./http/prompt_parts.ts";
import { KEY_HEADER } from "./workspaces/bearer_key.ts";

/** Headers of the native dialect. */
export const NATIVE_HEADERS = {
  CALL: "x-call-id",
  TIMEOUT: "x-patience-ms",
  PROGRAM: "x-program",
  PREVIOUS: "x-previous-turn",
  BUDGET: "x-token-budget",
  MAX_TOKENS: "x-most-tokens",
  OBJECT: "x-object",
  /** Prompt parts as id:tokens, in order, separated by commas. */
  PROMPT: "x-prompt-parts",
  INSTANCE: "x-instance",
  /** Name of the workspace to which the caller's key belongs. */
  WORKSPACE: "x-workspace",
  PRIORITY: "x-priority",
  RANK: "x-rank",
  /** Time until the program should be finished, ms. */
  FINISH: "x-finish-ms",
  NOT_RUN: "x-not-run",
  /** Id of an answer, by which a copy of it is recognized. */
  ANSWER: "x-answer-id",
} as const;

const SYSTEM_HEADERS: ReadonlySet<string> = new Set([
  NATIVE_HEADERS.INSTANCE,
  NATIVE_HEADERS.WORKSPACE,
  NATIVE_HEADERS.PRIORITY,
  NATIVE_HEADERS.RANK,
  NATIVE_HEADERS.TIMEOUT,
]);
/** On a site with workspaces, the caller's key is not sent to upstreams. */
const WITHHELD_HEADERS: ReadonlySet<string> = new Set([
  ...SYSTEM_HEADERS,
  KEY_HEADER,
]);
const UNAUTHORIZED = 401;
const MISDIRECTED = 421;

/** Dialect for callers that passes details in its own headers. */
export class NativeCallerDialect implements CallerDialect {
  /** Reads the headers of {@linkcode NATIVE_HEADERS}. */
  readCall(head: CallHead): Outcome<CallFacts> {
    const read = (name: string) => findHeader(head.headers, name) ?? "";
    const callId = read(NATIVE_HEADERS.CALL);
    if (callId === "") {
      return fail(RESULT_CODES.INVALID_FIELD, "The request has no call id");
    }
    const timeout = read(NATIVE_HEADERS.TIMEOUT);
    const budget = read(NATIVE_HEADERS.BUDGET);
    const finish = read(NATIVE_HEADERS.FINISH);
    return Ok({
      callId,
      callerTimeoutMilliseconds: timeout === "" ? Infinity : Number(timeout),
      programId: read(NATIVE_HEADERS.PROGRAM),
      previousTurnId: read(NATIVE_HEADERS.PREVIOUS),
      tokenBudget: budget === "" ? -1 : Number(budget),
      mostTokens: Number(read(NATIVE_HEADERS.MAX_TOKENS)),
      objectKey: read(NATIVE_HEADERS.OBJECT),
      finishMilliseconds: finish === "" ? Infinity : Number(finish),
      promptParts: parsePromptParts(read(NATIVE_HEADERS.PROMPT)),
    });
  }

  /** Forwards the caller's headers and sets those of the system. */
  writeAttempt(headers: RawHeaders, facts: AttemptFacts): RawHeaders {
    const { workspace } = facts;
    return [
      ...dropHopHeaders(
        headers,
        workspace === undefined ? SYSTEM_HEADERS : WITHHELD_HEADERS,
      ),
      ...(workspace === undefined || workspace === ""
        ? []
        : [NATIVE_HEADERS.WORKSPACE, workspace]),
      NATIVE_HEADERS.TIMEOUT,
      String(facts.remainingMilliseconds),
      NATIVE_HEADERS.INSTANCE,
      facts.instanceId,
      NATIVE_HEADERS.PRIORITY,
      String(facts.priority),
      NATIVE_HEADERS.RANK,
      String(facts.rank),
    ];
  }

  /**
   * Reads both ids, the not-run header and the status. `isGenuine` is always
   * true, because the call id is the only mark of a genuine answer.
   */
  readAnswer(head: AnswerHead): AnswerFacts {
    return {
      callId: findHeader(head.headers, NATIVE_HEADERS.CALL),
      answerId: findHeader(head.headers, NATIVE_HEADERS.ANSWER),
      notRun: findHeader(head.headers, NATIVE_HEADERS.NOT_RUN) !== undefined,
      isWrongInstance: head.status === MISDIRECTED,
      isGenuine: true,
    };
  }

  /** Writes the result code and whether the request was not run. */
  writeFailure(error: CodedError): GatewayAnswer {
    const { code, message, retryAfterMilliseconds } = error;
    const headers = ["Content-Type", "application/json"];
    if (retryAfterMilliseconds !== undefined) {
      headers.push("Retry-After", String(retryAfterMilliseconds / 1_000));
    }
    if (code.httpStatus === UNAUTHORIZED) {
      headers.push("WWW-Authenticate", "Bearer");
    }
    const body = JSON.stringify({
      error: {
        code: code.number,
        name: code.name,
        message,
        not_run: code.notRun,
        retry_after_ms: retryAfterMilliseconds,
      },
    });
    return { status: code.httpStatus, headers, body };
  }
}

/**
 * Dialect for operators: the routing document and the retirement of stores as
 * HTTP resources.
 */
export class NativeOperatorDialect implements OperatorDialect {
  /** Adds the routes below /v1/routing and /v1/stores. */
  addRoutes(server: Server, actions: OperatorActions): void {
    server.route({
      method: "PUT",
      path: "/v1/routing",
      options: {
        payload: { parse: false, maxBytes: actions.maxDocumentBytes },
      },
      handler: async (request, toolkit) => {
        const source = request.payload as Uint8Array;
        const document = parseDocument(source);
        const done = document.err
          ? document
          : await actions.replace(document.val, source);
        return toolkit.response(describeOutcome(done)).code(findStatus(done));
      },
    });
    server.route({
      method: "GET",
      path: "/v1/routing",
      handler: async (_request, toolkit) => {
        const read = await actions.read();
        if (read.err) {
          return toolkit.response(describeOutcome(read)).code(findStatus(read));
        }
        return toolkit.response(Buffer.from(read.val.source)).type(
          "application/json",
        );
      },
    });
    server.route({
      method: "POST",
      path: "/v1/stores/{name}/retirement",
      handler: async (request, toolkit) => {
        const done = await actions.retire(String(request.params["name"]));
        return toolkit.response(describeOutcome(done)).code(findStatus(done));
      },
    });
    server.route({
      method: "GET",
      path: "/v1/stores/{name}/retirement",
      handler: async (request, toolkit) => {
        const name = String(request.params["name"]);
        const done = await actions.describeRetirement(name);
        return toolkit.response(describeOutcome(done)).code(findStatus(done));
      },
    });
  }
}

function parseDocument(source: Uint8Array): Outcome<RoutingDocument> {
  try {
    return Ok(JSON.parse(Buffer.from(source).toString()) as RoutingDocument);
  } catch {
    return fail(
      RESULT_CODES.MALFORMED_JSON,
      RESULT_CODES.MALFORMED_JSON.meaning,
    );
  }
}

function findStatus(outcome: Outcome<unknown>): number {
  return outcome.ok ? 200 : outcome.val.code.httpStatus;
}

function describeOutcome(outcome: Outcome<unknown>): object {
  if (outcome.ok) return outcome.val as object;
  const { code, message } = outcome.val;
  return { error: { code: code.number, name: code.name, message } };
}
