/** A program as a Firnwatch crew runs it: turns, a tool pause, a sub-agent, a stake reading. */

import { sleep } from "@mallowlift/core";
import { SITE_MODEL, SITE_SERVICE } from "./seed_resources.ts";
import type { SiteAnswer, SiteClient } from "./site_client.ts";

const TOOL_PAUSE_MILLISECONDS = 300;

/** What a program did, for people. */
export interface ProgramReport {
  readonly program: string;
  readonly lines: readonly string[];
  readonly latencyMilliseconds: number;
}

/** Runs the program; throws at the first answer that is not what it should be. */
export async function runFirnwatchProgram(
  client: SiteClient,
  name: string,
): Promise<ProgramReport> {
  const startedAt = performance.now();
  const lines: string[] = [];
  const created = check(
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
      askModel(`${name}-${lines.length}`, question),
    );
    lines.push(describeAnswer("model", check(answer, 200)));
  }
  await sleep(TOOL_PAUSE_MILLISECONDS);
  lines.push(`tool: crew read the stake in ${TOOL_PAUSE_MILLISECONDS} ms`);
  const child = String(
    check(await client.createChild(program, { request_id: `${name}-c` }), 201)
      .program,
  );
  const reconciled = await client.callModel(
    child,
    askModel("reconcile", "Reconcile the transect"),
  );
  lines.push(describeAnswer("sub-agent", check(reconciled, 200)));
  check(await client.endProgram(child), 200);
  const streamed = await client.streamModel(
    program,
    askModel("summary", "Summarise for the crew"),
  );
  if (!streamed.whole) throw new Error("The stream was not whole");
  lines.push(`stream: ${streamed.text.trim()}`);
  const reading = { stake: 12, depth_mm: 1_840 };
  const write = {
    request_id: "write-12",
    operation: "write-reading",
    payload: reading,
  };
  const written = check(
    await client.callService(program, SITE_SERVICE, write),
    200,
  );
  lines.push(`stake reading: ${JSON.stringify(written.result)}`);
  const again = check(
    await client.callService(program, SITE_SERVICE, write),
    200,
  );
  if (again.digest !== written.digest) {
    throw new Error("The stake reading was repeated");
  }
  lines.push(
    "stake reading sent again: the recorded answer came back, it did not run twice",
  );
  const history = check(await client.readHistory(program), 200);
  lines.push(
    `history: ${history.turns.length} turns, digest ${
      String(history.program.digest).slice(0, 12)
    }`,
  );
  check(await client.endProgram(program), 200);
  return { program, lines, latencyMilliseconds: performance.now() - startedAt };
}

function askModel(requestId: string, question: string): object {
  return {
    request_id: requestId,
    model: SITE_MODEL,
    messages: [{ role: "user", content: question }],
    max_tokens: 8,
  };
}

function check(answer: SiteAnswer, status: number) {
  if (answer.status === status) return answer.body;
  throw new Error(
    `Status ${answer.status}, not ${status}: ${JSON.stringify(answer.body)}`,
  );
}

// deno-lint-ignore no-explicit-any -- the answer's shape is checked by the tests
function describeAnswer(kind: string, body: any): string {
  return `${kind}: ${
    String(body.choices[0].message.content).trim()
  } (turn ${body.turn})`;
}
