/** Converts programs and turns to the JSON that callers receive. */

import type { HistoryTurn, ProgramView } from "@mallowlift/core";

/** Converts a program to the JSON that callers receive. */
export function describeProgram(program: ProgramView): object {
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

/** Converts one turn to the JSON that callers receive. */
export function describeTurn(turn: HistoryTurn): object {
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
