/** The dependencies that calls share, and the failure of a call. */

import type { CodedError, Logger, Metrics, Settings } from "@mallowlift/core";
import type { CallerDialect } from "../dialect.ts";
import type { ByteAccount } from "../memory/byte_account.ts";
import type { CallQuarantine } from "../quarantine/call_quarantine.ts";
import type { PromptMemory } from "../upstreams/prompt_memory.ts";
import type { UnsentRequests } from "../upstreams/unsent_requests.ts";
import type { UpstreamTable } from "../upstreams/upstream_table.ts";
import type { ProgramUrgency } from "./program_urgency.ts";
import type { SendGate } from "./send_gate.ts";

/** Dependencies shared by all calls of a gateway. */
export interface CallDependencies {
  readonly settings: Settings["gateway"];
  readonly dialect: CallerDialect;
  readonly upstreams: UpstreamTable;
  /** Records which upstream has processed which prompt parts. */
  readonly promptMemory: PromptMemory;
  readonly urgency: ProgramUrgency;
  /** Keeps requests that end their upstreams from further ones. */
  readonly quarantine: CallQuarantine;
  /** Checks the keys and quotas of workspaces before each send. */
  readonly sendGate: SendGate;
  /** Memory of answers before they are sent, and of the outputs of turns. */
  readonly answers: ByteAccount;
  /** Request bytes that wait for upstreams. */
  readonly unsent: UnsentRequests;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Number of gateways that currently share the upstreams. */
  readonly countGateways: () => number;
  readonly random: () => number;
  /** Time since the instance list was last read, ms. */
  readonly findListAgeMilliseconds: (now: number) => number;
}

/** Why a call got no answer from an upstream. */
export interface CallFailure {
  readonly error: CodedError;
  /** True if it is certain that no upstream ran the call. */
  readonly notRun: boolean;
}
