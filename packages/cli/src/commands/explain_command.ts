/** explain: the story of one request, from the logs of any number of processes. */

import { readFileSync } from "node:fs";
import { findResultCode, RESULT_CODES } from "@mallowlift/core";
import type { CommandContext } from "../command_context.ts";

/** File descriptor of standard input. */
const STANDARD_INPUT = 0;
/** How long before a request the state of its process is still told, ms. */
const BEFORE_MILLISECONDS = 10_000;

/** Messages that change what a process believes, rather than tell of a request. */
const BELIEFS =
  /: (Leader found|Leader lost|Leading|Leadership ended|Entries wait|Document in force|Instance list (in force|lost|regained|changed)|Ready|Not ready|Stood still|Started|Stopping|Settings reloaded|Members changed)/;

/** One line of a log, as far as the story needs it. */
export interface LogLine {
  /** Daemon that wrote the line. */
  readonly name: string;
  readonly time: string;
  readonly msg: string;
  readonly [fact: string]: unknown;
}

/** The story of a request. */
export interface RequestStory {
  readonly call: string;
  readonly lines: readonly LogLine[];
  readonly verdict: string;
}

/** Reads lines of logs; what is no log line is passed over. */
export function readLogLines(text: string): readonly LogLine[] {
  const lines: LogLine[] = [];
  for (const row of text.split("\n")) {
    const start = row.indexOf("{");
    if (start === -1) continue;
    try {
      const line = JSON.parse(row.slice(start)) as Partial<LogLine>;
      if (typeof line.msg === "string" && typeof line.time === "string") {
        lines.push(line as LogLine);
      }
    } catch {
      // A line that was cut when its process was killed tells nothing.
      continue;
    }
  }
  return lines;
}

/**
 * Puts the story of a request together: its own lines, and what its process
 * had come to believe shortly before.
 *
 * @returns undefined if no line names the request
 */
export function explainCall(
  lines: readonly LogLine[],
  call: string,
): RequestStory | undefined {
  const own = lines.filter((line) => line["call"] === call);
  if (own.length === 0) return undefined;
  const names = new Set(own.map((line) => line.name));
  const times = own.map((line) => Date.parse(line.time));
  const first = Math.min(...times) - BEFORE_MILLISECONDS;
  const last = Math.max(...times);
  const beliefs = lines.filter((line) => {
    const time = Date.parse(line.time);
    return names.has(line.name) && BELIEFS.test(line.msg) && time >= first &&
      time <= last;
  });
  const story = [...beliefs, ...own].sort((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
  return { call, lines: story, verdict: judge(own, beliefs) };
}

/** Says in a sentence what became of a request, and why. */
function judge(own: readonly LogLine[], beliefs: readonly LogLine[]): string {
  const end = own.findLast((line) =>
    line.msg.endsWith("Call ended") || line.msg.endsWith("Request refused")
  );
  if (end === undefined) {
    return "No end was logged: the process ended first, or its lines were dropped";
  }
  const stall = beliefs.findLast((line) => line.msg.endsWith("Stood still"));
  const code = findResultCode(String(end["code"]));
  if (code === RESULT_CODES.OK) {
    return `Answered with status ${end["status"]} by ${end["upstream"]} after ${
      end["milliseconds"]
    } ms`;
  }
  const promise = code.notRun ? "did not run" : "may have run";
  const failed = own.findLast((line) => line.msg.endsWith("Attempt failed"));
  const causes: string[] = [code.meaning];
  const spent = own.findLast((line) => line.msg.endsWith("Budget spent"));
  if (spent !== undefined) {
    causes.push(
      `of ${spent["budget"]} tokens ${spent["spent"]} were spent and ${
        spent["reserved"]
      } reserved for ${spent["open_turns"]} open turns`,
    );
  }
  if (failed !== undefined) {
    causes.push(
      `the last attempt, at ${failed["upstream"]}, ended as ${
        failed["outcome"]
      }: ${failed["reason"]}`,
    );
  }
  if (stall !== undefined) {
    causes.push(
      `its gateway stood still for ${
        stall["milliseconds"]
      } ms up to ${stall.time}`,
    );
  }
  const lost = beliefs.findLast((line) => line.msg.includes("Leader "));
  if (lost?.msg.includes("Leader lost") === true) {
    causes.push(
      `its gateway had lost the leader ${lost["store"]} (${
        lost["reason"]
      }) at ${lost.time}`,
    );
  }
  return `Ended with ${code.name}, so it ${promise}: ${causes.join("; ")}`;
}

/** Prints the story of a request. */
export function explainRequest(
  context: CommandContext,
  call: string,
  files: readonly string[],
): void {
  const sources = files.length === 0 ? [STANDARD_INPUT] : files;
  const lines: LogLine[] = [];
  for (const source of sources) {
    try {
      lines.push(...readLogLines(readFileSync(source, "utf8")));
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      return context.failUsage(`Cannot read ${source}: ${message}`);
    }
  }
  const story = explainCall(lines, call);
  if (story === undefined) {
    return context.failUsage(`No line names request ${call}`);
  }
  context.show(
    story,
    () => [...story.lines.map(formatLine), story.verdict].join("\n"),
  );
}

function formatLine(line: LogLine): string {
  const facts: string[] = [];
  for (const [fact, value] of Object.entries(line)) {
    const isFrame = ["name", "hostname", "pid", "level", "msg", "time", "v"]
      .includes(fact);
    if (!isFrame && value !== "") facts.push(`${fact}=${String(value)}`);
  }
  return `${line.time} ${line.name} ${line.msg} ${facts.join(" ")}`;
}
