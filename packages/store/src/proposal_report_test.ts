import { createMetrics, sleep } from "@mallowlift/core";
import { test } from "tap";
import { ProposalReport } from "./proposal_report.ts";

/** Collects the log lines of a report. */
function startReport() {
  const lines: Record<string, unknown>[] = [];
  const record = (_message: string, fields?: Record<string, unknown>) => {
    lines.push(fields ?? {});
  };
  const logger = {
    debug: record,
    info: record,
    warn: record,
    error: record,
    forPart: () => logger,
  };
  const report = new ProposalReport({ logger, metrics: createMetrics() });
  return { report, lines };
}

const DECIDED = {
  kind: "end",
  milliseconds: 20,
  requestCount: 1,
  isUnchanged: false,
  isAbandoned: false,
};

test("requests that are old when they are read are reported, with the load of the process", async (t) => {
  const { report, lines } = startReport();
  const request = { kind: "begin", priority: 0, isLate: false };
  report.recordAge(request, 12);
  report.record(DECIDED, 1_000);
  await sleep(0);
  t.same(lines, [], "young requests are not");
  report.recordAge(request, 640);
  report.record({ ...DECIDED, isAbandoned: true }, 2_000);
  await sleep(0);
  t.equal(lines.length, 1);
  const [line] = lines;
  t.match(line, { decided: 1, unheard: 1, unheard_ends: 1, refused: 0 });
  t.equal(line?.oldest_request_ms, 640);
  t.equal(line?.requests_by_priority, "0: 1, 0 late, 640 ms");
  t.type(line?.processor_ms, "number");
  t.type(line?.event_loop_busy, "number");
  t.equal(line?.sent_kb, 0);
});
