/** Places calls on sidecars with the placement policy from the settings. */

import {
  type CallBody,
  estimatePromptTokens,
  fail,
  type Outcome,
  RESULT_CODES,
  type Usage,
} from "@mallowlift/core";
import type { AttemptTarget, ProgramRecord } from "@mallowlift/programs";
import type { PlacementCall, PlacementPolicy } from "@mallowlift/scheduling";
import type { PeerClient } from "@mallowlift/transport";
import { Ok } from "ts-results";
import { buildPrompt } from "../calls/build_prompt.ts";
import type { SidecarDirectory } from "./sidecar_directory.ts";

const QUEUE_FULL_RETRY_MILLISECONDS = 500;
const NO_UPSTREAM_RETRY_MILLISECONDS = 2_000;

/** Chooses sidecars for calls and records the attempts sent to them. */
export class Placement {
  readonly #directory: SidecarDirectory;
  readonly #policy: PlacementPolicy;

  constructor(directory: SidecarDirectory, policy: PlacementPolicy) {
    this.#directory = directory;
    this.#policy = policy;
  }

  /**
   * Chooses a sidecar. Avoided sidecars are chosen only if no other has
   * capacity.
   */
  place(
    program: ProgramRecord,
    body: CallBody,
    avoidedSidecarIds: readonly string[],
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
        NO_UPSTREAM_RETRY_MILLISECONDS,
      );
    }
    const preferred = candidates.filter((candidate) =>
      !avoidedSidecarIds.includes(candidate.sidecarId)
    );
    const call = createPlacementCall(program, body);
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
      QUEUE_FULL_RETRY_MILLISECONDS,
    );
  }

  /** Records that an attempt is sent to a sidecar. */
  recordDispatch(sidecarId: string): void {
    this.#directory.adjustOwnCalls(sidecarId, 1);
  }

  /** Records that an attempt has ended, successfully or not. */
  recordEnd(sidecarId: string): void {
    this.#directory.adjustOwnCalls(sidecarId, -1);
  }

  /**
   * Records how much of a program the sidecar's engine has cached after an
   * answer.
   */
  recordAnswer(program: ProgramRecord, sidecarId: string, usage: Usage): void {
    const tokens = usage.promptTokens + usage.completionTokens;
    this.#directory.cache.recordTokens(sidecarId, program.programId, tokens);
  }

  /** Returns the transport client of a sidecar. */
  getClient(address: string): PeerClient {
    return this.#directory.getClient(address);
  }
}

/** The members of {@linkcode Placement} that running a call needs. */
export type CallPlacement = Pick<
  Placement,
  "place" | "recordDispatch" | "recordEnd" | "recordAnswer" | "getClient"
>;

function createPlacementCall(
  program: ProgramRecord,
  body: CallBody,
): PlacementCall {
  return {
    programId: program.programId,
    promptTokens: estimatePromptTokens(buildPrompt(program, body)),
    maxTokens: body.kind === "model" ? body.maxTokens : 0,
  };
}
