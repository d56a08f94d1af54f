import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import type { Route } from "@mallowlift/core";
import { test } from "tap";
import type { RouteTable } from "../routing/route_table.ts";
import { OpenCall } from "./open_call.ts";

function openCall(response: object): OpenCall {
  const call = new OpenCall({
    head: { method: "GET", target: "/", headers: [] },
    facts: {
      callId: "c",
      callerTimeoutMilliseconds: 60_000,
      programId: "",
      previousTurnId: "",
      tokenBudget: -1,
      mostTokens: 0,
      objectKey: "",
      finishMilliseconds: Infinity,
      promptParts: [],
    },
    body: Buffer.alloc(0),
    route: { timeoutMilliseconds: 60_000 } as Route,
    table: {} as RouteTable,
    workspace: undefined,
    keyDigest: "",
    service: "s",
    response: response as ServerResponse,
    arrivedAt: 0,
  }, 0);
  call.close();
  return call;
}

test("a caller that disconnected before its call was opened counts as gone", (t) => {
  const closed = { destroyed: true, writableFinished: false };
  t.ok(openCall(Object.assign(new EventEmitter(), closed)).hasCallerLeft);
  t.end();
});

test("a caller whose connection closes before the answer is complete counts as gone", (t) => {
  const connected = { destroyed: false, writableFinished: false };
  const response = Object.assign(new EventEmitter(), connected);
  const call = openCall(response);
  t.notOk(call.hasCallerLeft);
  response.emit("close");
  t.ok(call.hasCallerLeft);
  t.end();
});
