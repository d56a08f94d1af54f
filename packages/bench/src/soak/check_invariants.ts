/** Checks the promises from the outside, after the faults and the load have ended. */

import { performance } from "node:perf_hooks";
import {
  EMPTY_HISTORY_DIGEST,
  estimatePromptTokens,
  extendDigest,
  sleep,
} from "@mallowlift/core";
import type { FakeEngine, FakeService } from "@mallowlift/mocks";
import type { SiteAnswer, SiteClient } from "../site/site_client.ts";
import type { ProgramRecord, SoakRecords } from "./records.ts";

const MEMORY_RELEASE_MILLISECONDS = 15_000;
const POLL_MILLISECONDS = 250;
/**
 * Time within which every program must be served again once all daemons run and
 * are healthy, ms. It covers two elections of a group that was partitioned and
 * the loading of a snapshot, on a machine that is busy with other work.
 */
const SERVICE_RECOVERY_MILLISECONDS = 10_000;
const SERVICE_UNAVAILABLE = 503;

/** Promises that a soak checks, by the names that it prints. */
export const INVARIANTS = [
  "at most once",
  "not run is true",
  "answered runs once",
  "whole answer",
  "history kept",
  "digest exact",
  "budget holds",
  "memory freed",
  "one winner",
  "same answer again",
  "rivals see nothing",
  "service is back",
  "configuration in force",
] as const;

/** Options of {@linkcode checkInvariants}. */
export interface CheckOptions {
  readonly records: SoakRecords;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  /** Returns a client with the token of an outfit. */
  findClient(outfit: string): SiteClient;
}

/** Runs all checks. */
export async function checkInvariants(options: CheckOptions): Promise<void> {
  checkRuns(options);
  const recoveryDeadline = performance.now() + SERVICE_RECOVERY_MILLISECONDS;
  for (const program of options.records.programs) {
    await checkProgram(options, { record: program, recoveryDeadline });
  }
  await checkMemoryFreed(options);
}

function checkRuns(options: CheckOptions): void {
  const { records, services } = options;
  const runs = new Map<string, number>();
  for (const service of services) {
    for (const run of service.runs) {
      if (run.operation !== "write-reading") continue;
      runs.set(run.key, (runs.get(run.key) ?? 0) + 1);
    }
  }
  for (const [key, count] of runs) {
    if (count > 1) records.fail("at most once", `${key} ran ${count} times`);
  }
  for (const program of records.programs) {
    for (const call of program.calls) {
      if (call.kind !== "write") continue;
      const count = runs.get(`${program.program}/${call.requestId}`) ?? 0;
      if (call.notRun && count > 0) {
        records.fail("not run is true", `${call.requestId} ran, ${call.code}`);
      }
      if (call.code === "OK" && count !== 1) {
        records.fail(
          "answered runs once",
          `${call.requestId} ran ${count} times`,
        );
      }
    }
  }
}

/**
 * Reads a history, and retries while the answer is 503. A 503 shows neither
 * leaked nor lost data, but the service must be back before the deadline.
 */
async function readHistoryWithRetries(
  client: SiteClient,
  program: string,
  options: { readonly records: SoakRecords; readonly recoveryDeadline: number },
): Promise<SiteAnswer | undefined> {
  const { records, recoveryDeadline } = options;
  while (true) {
    const answer = await client.readHistory(program);
    if (answer.status !== SERVICE_UNAVAILABLE) return answer;
    const reason = JSON.stringify(answer.body);
    records.count("checks that found no service");
    if (performance.now() > recoveryDeadline) {
      records.fail("service is back", `${program}: ${reason}`);
      return undefined;
    }
    await sleep(POLL_MILLISECONDS);
  }
}

async function checkProgram(
  options: CheckOptions,
  details: {
    readonly record: ProgramRecord;
    readonly recoveryDeadline: number;
  },
): Promise<void> {
  const { records, findClient } = options;
  const { record, recoveryDeadline } = details;
  const history = await readHistoryWithRetries(
    findClient(record.outfit),
    record.program,
    { records, recoveryDeadline },
  );
  if (history === undefined) return;
  if (history.status !== 200) {
    records.fail(
      "history kept",
      `${record.program} has status ${history.status}`,
    );
    return;
  }
  const { program, turns } = history.body;
  let digest = EMPTY_HISTORY_DIGEST;
  for (const turn of turns) {
    digest = extendDigest(digest, describeTurn(turn));
    if (digest !== turn.digest) {
      records.fail("digest exact", `${record.program} ${turn.turn}`);
    }
  }
  if (digest !== program.digest) records.fail("digest exact", record.program);
  checkOrder(records, record, turns);
  let usedByTurns = 0;
  for (const turn of turns) usedByTurns += measureTurn(turn);
  if (
    program.tokens_used > record.budget || program.tokens_used < usedByTurns
  ) {
    records.fail(
      "budget holds",
      `${record.program} used ${program.tokens_used}, turns ${usedByTurns}`,
    );
  }
  const otherOutfit = record.outfit === "north" ? "south" : "north";
  const otherView = await readHistoryWithRetries(
    findClient(otherOutfit),
    record.program,
    { records, recoveryDeadline },
  );
  if (otherView === undefined || otherView.status === 404) return;
  records.fail("rivals see nothing", `${record.program}: ${otherView.status}`);
}

// deno-lint-ignore no-explicit-any -- the shape of the callers' interface
function describeTurn(turn: any): object {
  const body = turn.kind === "model"
    ? {
      kind: "model",
      model: turn.model,
      messages: turn.messages,
      maxTokens: turn.max_tokens,
    }
    : {
      kind: "service",
      service: turn.service,
      operation: turn.operation,
      payload: JSON.stringify(turn.payload),
      idempotent: turn.idempotent,
    };
  return {
    requestId: turn.request_id,
    body,
    code: turn.code,
    answer: turn.answer,
  };
}

// deno-lint-ignore no-explicit-any -- the shape of the callers' interface
function measureTurn(turn: any): number {
  if (turn.kind !== "model") return 0;
  return estimatePromptTokens(turn.messages) +
    turn.answer.usage.completionTokens;
}

function checkOrder(
  records: SoakRecords,
  record: ProgramRecord,
  // deno-lint-ignore no-explicit-any -- the shape of the callers' interface
  turns: readonly any[],
): void {
  const answered = record.calls.filter((call) => call.code === "OK");
  let previous = 0;
  for (const call of answered) {
    const turn = turns[call.turn - 1];
    const isKept = turn?.request_id === call.requestId &&
      turn.digest === call.digest;
    if (!isKept || call.turn <= previous) {
      records.fail(
        "history kept",
        `${record.program} ${call.requestId} at ${call.turn}`,
      );
    }
    previous = call.turn;
  }
  for (const turn of turns) {
    const call = record.calls.find((known) =>
      known.requestId === turn.request_id
    );
    const isUnexpected = call === undefined || call.notRun;
    if (isUnexpected && record.ended) {
      records.fail(
        "history kept",
        `${record.program} has an unexpected turn ${turn.request_id}`,
      );
    }
  }
}

async function checkMemoryFreed(options: CheckOptions): Promise<void> {
  const { records, engines } = options;
  const endedPrograms = new Set(
    records.programs.filter((program) => program.ended).map((program) =>
      program.program
    ),
  );
  const listHeldSessions = () =>
    engines.flatMap((engine) => engine.sessions).filter((session) =>
      endedPrograms.has(session)
    );
  const deadline = Date.now() + MEMORY_RELEASE_MILLISECONDS;
  while (listHeldSessions().length > 0 && Date.now() < deadline) {
    await sleep(POLL_MILLISECONDS);
  }
  for (const session of listHeldSessions()) {
    records.fail("memory freed", `${session} is still held`);
  }
}
