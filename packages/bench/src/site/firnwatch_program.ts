/**
 * The example program of a Firnwatch crew: model calls, a pause for a tool, a
 * sub-agent, a streamed call and a service call that is sent twice.
 */

import { sleep } from "@mallowlift/core";
import { SITE_MODEL, SITE_SERVICE } from "./seed_resources.ts";
import type { SiteAnswer, SiteClient } from "./site_client.ts";

const TOOL_PAUSE_MILLISECONDS = 300;

/** Summary of a program run for display. */
export interface ProgramReport {
  readonly program: string;
  /** One line of text for each step. */
  readonly lines: readonly string[];
  readonly latencyMilliseconds: number;
}

/** Runs the program; throws at the first unexpected answer. */
export async function runFirnwatchProgram(
  client: SiteClient,
  name: string,
): Promise<ProgramReport> {
  const startedAt = performance.now();
  const lines: string[] = [];
  const created = requireStatus(
    await client.createProgram({
      request_id: name,
      priority: "crew-on-ice",
      token_budget: 20_000,
    }),
    201,
  );
  const program = String(created.program);
  for (
    const question of [
      "Which stake comes first?",
      "How deep was it last season?",
    ]
  ) {
    const answer = await client.callModel(
      program,
      createModelRequest(`${name}-${lines.length}`, question),
    );
    lines.push(describeAnswer("model", requireStatus(answer, 200)));
  }
  await sleep(TOOL_PAUSE_MILLISECONDS);
  lines.push(`tool: crew read the stake in ${TOOL_PAUSE_MILLISECONDS} ms`);
  const child = String(
    requireStatus(
      await client.createChild(program, { request_id: `${name}-c` }),
      201,
    )
      .program,
  );
  const reconciled = await client.callModel(
    child,
    createModelRequest("reconcile", "Reconcile the transect"),
  );
  lines.push(describeAnswer("sub-agent", requireStatus(reconciled, 200)));
  requireStatus(await client.endProgram(child), 200);
  const streamed = await client.streamModel(
    program,
    createModelRequest("summary", "Summarise for the crew"),
  );
  if (!streamed.whole) throw new Error("The stream ended early");
  lines.push(`stream: ${streamed.text.trim()}`);
  const reading = { stake: 12, depth_mm: 1_840 };
  const write = {
    request_id: "write-12",
    operation: "write-reading",
    payload: reading,
  };
  const written = requireStatus(
    await client.callService(program, SITE_SERVICE, write),
    200,
  );
  lines.push(`stake reading: ${JSON.stringify(written.result)}`);
  const again = requireStatus(
    await client.callService(program, SITE_SERVICE, write),
    200,
  );
  if (again.digest !== written.digest) {
    throw new Error("The repeated stake reading got a different answer");
  }
  lines.push(
    "stake reading sent again: the recorded answer came back, it did not run twice",
  );
  const history = requireStatus(await client.readHistory(program), 200);
  lines.push(
    `history: ${history.turns.length} turns, digest ${
      String(history.program.digest).slice(0, 12)
    }`,
  );
  requireStatus(await client.endProgram(program), 200);
  return { program, lines, latencyMilliseconds: performance.now() - startedAt };
}

function createModelRequest(requestId: string, question: string): object {
  return {
    request_id: requestId,
    model: SITE_MODEL,
    messages: [{ role: "user", content: question }],
    max_tokens: 8,
  };
}

function requireStatus(answer: SiteAnswer, status: number) {
  if (answer.status === status) return answer.body;
  throw new Error(
    `Status ${answer.status} instead of ${status}: ${
      JSON.stringify(answer.body)
    }`,
  );
}

// deno-lint-ignore no-explicit-any -- the answer's shape is checked by the tests
function describeAnswer(kind: string, body: any): string {
  return `${kind}: ${
    String(body.choices[0].message.content).trim()
  } (turn ${body.turn})`;
}
