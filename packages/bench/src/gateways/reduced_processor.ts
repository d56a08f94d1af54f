/**
 * Preloaded into a store, makes its thread busy for a fixed time with each message
 * that it reads and each command that it proposes, from SIGUSR2 on, like an instance
 * with a small part of a core. The thread waits instead of computing, so that the load
 * that the store can carry depends neither on the machine nor on what else runs there.
 */

import type { Buffer } from "node:buffer";
import process from "node:process";
import { ReplicatedGroup } from "@mallowlift/consensus";
import { FrameReader } from "@mallowlift/transport";
import {
  BusyThread,
  COMMAND_MILLISECONDS,
  MESSAGE_MILLISECONDS,
} from "./counted_work.ts";

const thread = new BusyThread();

const { push } = FrameReader.prototype;
FrameReader.prototype.push = function (bytes: Buffer) {
  const messages = push.call(this, bytes);
  if (messages.ok) thread.keepBusy(messages.val.length * MESSAGE_MILLISECONDS);
  return messages;
};

const { propose } = ReplicatedGroup.prototype;
ReplicatedGroup.prototype.propose = function (...command) {
  if (this.isLeading) thread.keepBusy(COMMAND_MILLISECONDS);
  return propose.apply(this, command);
};

// The listener stays: a signal without one would end the process.
process.on("SIGUSR2", () => thread.reduce());
