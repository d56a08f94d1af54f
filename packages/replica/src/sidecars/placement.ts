/** Places calls on sidecars by the policy of the settings. */

import {
  type CallBody,
  fail,
  measureMessages,
  type Outcome,
  RESULT_CODES,
  type Usage,
} from "@mallowlift/core";
import type { AttemptTarget, ProgramRecord } from "@mallowlift/programs";
import type { PlacementCall, PlacementPolicy } from "@mallowlift/scheduling";
import type { Caller } from "@mallowlift/transport";
import { Ok } from "ts-results";
import { buildPrompt } from "../calls/build_prompt.ts";
import type { SidecarDirectory } from "./sidecar_directory.ts";

const FULL_RETRY_MILLISECONDS = 500;
const ABSENT_RETRY_MILLISECONDS = 2_000;

/** Chooses sidecars and remembers what was sent to them. */
export class Placement {
  readonly #directory: SidecarDirectory;
  readonly #policy: PlacementPolicy;

  constructor(directory: SidecarDirectory, policy: PlacementPolicy) {
    this.#directory = directory;
    this.#policy = policy;
  }

  /** Chooses a sidecar; those to avoid come only when there is no other. */
  place(
    program: ProgramRecord,
    body: CallBody,
    avoid: readonly string[],
  ): Outcome<AttemptTarget> {
    const candidates = this.#directory.listCandidates(
      body,
      program.programId,
      Date.now(),
    );
    if (candidates.length === 0) {
      return fail(
        RESULT_CODES.NO_UPSTREAM,
        "No live upstream serves this call",
        ABSENT_RETRY_MILLISECONDS,
      );
    }
    const preferred = candidates.filter((candidate) =>
      !avoid.includes(candidate.sidecarId)
    );
    const call = describeCall(program, body);
    const pool = preferred.length > 0 ? preferred : candidates;
    const chosen = this.#policy.choose(call, pool) ??
      this.#policy.choose(call, candidates);
    const candidate = candidates.find((known) =>
      known.sidecarId === chosen?.sidecarId
    );
    if (candidate !== undefined) return Ok(candidate.target);
    return fail(
      RESULT_CODES.QUEUE_FULL,
      "All queues are full",
      FULL_RETRY_MILLISECONDS,
    );
  }

  /** Notes that an attempt goes to a sidecar. */
  noteSent(sidecarId: string): void {
    this.#directory.countOwn(sidecarId, 1);
  }

  /** Notes that an attempt has ended, however. */
  noteEnded(sidecarId: string): void {
    this.#directory.countOwn(sidecarId, -1);
  }

  /** Notes what a sidecar's engine has cached after an answer. */
  noteAnswered(program: ProgramRecord, sidecarId: string, usage: Usage): void {
    const tokens = usage.promptTokens + usage.completionTokens;
    this.#directory.cache.note(sidecarId, program.programId, tokens);
  }

  /** Returns the way to a sidecar. */
  findCaller(address: string): Caller {
    return this.#directory.findCaller(address);
  }
}

/** What the task of a call uses of the placement. */
export type CallPlacement = Pick<
  Placement,
  "place" | "noteSent" | "noteEnded" | "noteAnswered" | "findCaller"
>;

function describeCall(program: ProgramRecord, body: CallBody): PlacementCall {
  return {
    programId: program.programId,
    promptTokens: measureMessages(buildPrompt(program, body)),
    maxTokens: body.kind === "model" ? body.maxTokens : 0,
  };
}
