import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import type { Route } from "@mallowlift/core";
import { test } from "tap";
import type { RouteTable } from "../routing/route_table.ts";
import { RequestBody } from "../memory/request_body.ts";
import { OpenCall } from "./open_call.ts";
import { UnreadAnswers } from "./unread_answers.ts";

const LIMITS = {
  holdBytes: 65_536,
  callBytes: 1_000_000,
  totalBytes: 1_000_000,
  stallMilliseconds: 60_000,
};

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
    body: new RequestBody(Buffer.alloc(0)),
    route: { timeoutMilliseconds: 60_000 } as Route,
    table: {} as RouteTable,
    workspace: undefined,
    keyDigest: "",
    service: "s",
    response: response as ServerResponse,
    unread: new UnreadAnswers(LIMITS, () => undefined),
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

test("many small unread events hold the upstream until they are sent", (t) => {
  const written: (() => void)[] = [];
  const response = Object.assign(new EventEmitter(), {
    destroyed: false,
    writableLength: 0,
    socket: null,
    write: (bytes: Buffer, callback: () => void) => {
      response.writableLength += bytes.length;
      written.push(callback);
    },
  });
  const call = openCall(response);
  const source = {
    pausedBytes: 0,
    isHeld: false,
    hold: () => source.isHeld = true,
    resume: () => source.isHeld = false,
  };
  call.setSource(source);
  const event = Buffer.from("data: token\n\n");
  for (let count = 0; count < 100; count++) call.sendEvents([event]);
  t.ok(source.isHeld, "each waiting write takes memory beyond its bytes");
  // Too few bytes for a "drain" event of the response.
  response.writableLength = 0;
  for (const callback of written) callback();
  t.notOk(source.isHeld);
  t.equal(call.parts.unread.totalBytes, 0);
  t.end();
});
