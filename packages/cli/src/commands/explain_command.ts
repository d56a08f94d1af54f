/**
 * The explain command, which explains the outcome of a request from the logs of
 * any number of processes.
 */

import { readFileSync } from "node:fs";
import { findResultCode, RESULT_CODES } from "@mallowlift/core";
import type { CommandContext } from "../command_context.ts";

/** File descriptor of standard input. */
const STANDARD_INPUT = 0;
/** State changes from this long before the first line of a request are included, ms. */
const LOOKBACK_MILLISECONDS = 10_000;

/** Messages that report a change of a process's state instead of an event of a request. */
const STATE_CHANGE_MESSAGE =
  /: (Leader found|Leader lost|Leading|Leadership ended|Entries wait|Document in force|Instance list (in force|lost|regained|changed)|Ready|Not ready|Stood still|Started|Stopping|Settings reloaded|Members changed)/;

/** One parsed line of a log; other fields depend on the message. */
export interface LogLine {
  /** Name of the daemon that wrote the line. */
  readonly name: string;
  readonly time: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

/**
 * The log lines of a request, the state changes of its processes around it,
 * and a sentence that explains its outcome.
 */
export interface RequestExplanation {
  readonly call: string;
  readonly lines: readonly LogLine[];
  readonly verdict: string;
}

/** Parses log lines; text that is not a log line is skipped. */
export function readLogLines(text: string): readonly LogLine[] {
  const lines: LogLine[] = [];
  for (const row of text.split("\n")) {
    const jsonStart = row.indexOf("{");
    if (jsonStart === -1) continue;
    try {
      const line = JSON.parse(row.slice(jsonStart)) as Partial<LogLine>;
      if (typeof line.msg === "string" && typeof line.time === "string") {
        lines.push(line as LogLine);
      }
    } catch {
      // A line is incomplete if its process was killed while writing it.
      continue;
    }
  }
  return lines;
}

/**
 * Collects the log lines of a request and the state changes of the processes
 * that logged them, from shortly before its first line up to its last line.
 *
 * @returns undefined if no line belongs to the request
 */
export function createExplanation(
  lines: readonly LogLine[],
  call: string,
): RequestExplanation | undefined {
  const callLines = lines.filter((line) => line["call"] === call);
  if (callLines.length === 0) return undefined;
  const daemonNames = new Set(callLines.map((line) => line.name));
  const times = callLines.map((line) => Date.parse(line.time));
  const windowStart = Math.min(...times) - LOOKBACK_MILLISECONDS;
  const windowEnd = Math.max(...times);
  const stateChanges = lines.filter((line) => {
    const time = Date.parse(line.time);
    return daemonNames.has(line.name) && STATE_CHANGE_MESSAGE.test(line.msg) &&
      time >= windowStart &&
      time <= windowEnd;
  });
  const sortedLines = [...stateChanges, ...callLines].sort((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
  return {
    call,
    lines: sortedLines,
    verdict: formatVerdict(callLines, stateChanges),
  };
}

/** Explains the outcome of a request in one sentence. */
function formatVerdict(
  callLines: readonly LogLine[],
  stateChanges: readonly LogLine[],
): string {
  const endLine = callLines.findLast((line) =>
    line.msg.endsWith("Call ended") || line.msg.endsWith("Request refused")
  );
  if (endLine === undefined) {
    return "No end was logged: the process ended first, or its lines were dropped";
  }
  const stallLine = stateChanges.findLast((line) =>
    line.msg.endsWith("Stood still")
  );
  const code = findResultCode(String(endLine["code"]));
  if (code === RESULT_CODES.OK) {
    return `Answered with status ${endLine["status"]} by ${
      endLine["upstream"]
    } after ${endLine["milliseconds"]} ms`;
  }
  const execution = code.notRun ? "did not run" : "may have run";
  const failedAttempt = callLines.findLast((line) =>
    line.msg.endsWith("Attempt failed")
  );
  const causes: string[] = [code.meaning];
  const budgetLine = callLines.findLast((line) =>
    line.msg.endsWith("Budget spent")
  );
  if (budgetLine !== undefined) {
    causes.push(
      `of ${budgetLine["budget"]} tokens ${
        budgetLine["spent"]
      } were spent and ${budgetLine["reserved"]} reserved for ${
        budgetLine["open_turns"]
      } open turns`,
    );
  }
  if (failedAttempt !== undefined) {
    causes.push(
      `the last attempt, at ${failedAttempt["upstream"]}, ended as ${
        failedAttempt["outcome"]
      }: ${failedAttempt["reason"]}`,
    );
  }
  if (stallLine !== undefined) {
    causes.push(
      `its gateway stood still for ${
        stallLine["milliseconds"]
      } ms up to ${stallLine.time}`,
    );
  }
  const leaderLine = stateChanges.findLast((line) =>
    line.msg.includes("Leader ")
  );
  if (leaderLine?.msg.includes("Leader lost") === true) {
    causes.push(
      `its gateway had lost the leader ${leaderLine["store"]} (${
        leaderLine["reason"]
      }) at ${leaderLine.time}`,
    );
  }
  return `Ended with ${code.name}, so it ${execution}: ${causes.join("; ")}`;
}

/** Reads log files and prints the explanation of a request. */
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
      return context.failWithUsageError(`Cannot read ${source}: ${message}`);
    }
  }
  const explanation = createExplanation(lines, call);
  if (explanation === undefined) {
    return context.failWithUsageError(`No log line found for request ${call}`);
  }
  context.show(
    explanation,
    () =>
      [...explanation.lines.map(formatLine), explanation.verdict].join("\n"),
  );
}

function formatLine(line: LogLine): string {
  const fields: string[] = [];
  for (const [field, value] of Object.entries(line)) {
    const isCommon = ["name", "hostname", "pid", "level", "msg", "time", "v"]
      .includes(field);
    if (!isCommon && value !== "") fields.push(`${field}=${String(value)}`);
  }
  return `${line.time} ${line.name} ${line.msg} ${fields.join(" ")}`;
}
