/**
 * Preloaded into a gateway, makes its thread busy for a fixed time with each request of
 * a caller and each message of a store, from SIGUSR2 on, as `reduced_processor` does
 * with a store.
 */

import type { Buffer } from "node:buffer";
import process from "node:process";
import { OrderedServer } from "@mallowlift/core";
import { FrameReader } from "@mallowlift/transport";
import {
  BusyThread,
  CALL_MILLISECONDS,
  REPLY_MILLISECONDS,
} from "./counted_work.ts";

const thread = new BusyThread();

const { push } = FrameReader.prototype;
FrameReader.prototype.push = function (bytes: Buffer) {
  const messages = push.call(this, bytes);
  if (messages.ok) {
    thread.keepBusy(messages.val.length * REPLY_MILLISECONDS);
  }
  return messages;
};

const { emit } = OrderedServer.prototype;
OrderedServer.prototype.emit = function (event: string, ...values: unknown[]) {
  if (event === "request") thread.keepBusy(CALL_MILLISECONDS);
  return emit.call(this, event, ...values);
};

// The listener stays: a signal without one would end the process.
process.on("SIGUSR2", () => thread.reduce());
