/** The request handlers of the replica role. */

import { performance } from "node:perf_hooks";
import {
  fail,
  findProgramGroup,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import {
  type CallContext,
  type HandlerTable,
  RequestQueue,
} from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { ConfigurationOwner } from "./configuration/configuration_owner.ts";
import type { ProgramOwner } from "./programs/program_owner.ts";
import type { SidecarDirectory } from "./sidecars/sidecar_directory.ts";
import type { ReplicaStatus } from "@mallowlift/core";

/** Dependencies of the handlers. */
export interface ReplicaParts {
  readonly configuration: ConfigurationOwner;
  readonly owners: readonly ProgramOwner[];
  readonly directory: SidecarDirectory;
  getStatus(): ReplicaStatus;
}

/** Result for an entry that has stopped to wait and no longer reads it. */
const CANCELLED = fail(RESULT_CODES.CANCELLED, "The caller has given up");

/**
 * Creates the handlers for requests of entries, sidecars and operators. Those of
 * entries wait in a queue, which bounds how many start between two rounds of
 * replication.
 */
export function createReplicaHandlers(parts: ReplicaParts): HandlerTable {
  const { configuration, owners, directory } = parts;
  const withOwner = <T>(
    programId: string,
    serve: (owner: ProgramOwner) => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> => {
    const owner = owners[findProgramGroup(programId, owners.length) - 1];
    if (owner !== undefined) return serve(owner);
    return Promise.resolve(
      fail(RESULT_CODES.INTERNAL, "The program group does not exist"),
    );
  };
  const queue = new RequestQueue();
  const runInTurn = <T>(
    { signal }: CallContext<unknown>,
    handle: () => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> =>
    queue.run<Outcome<T>>(
      handle,
      () => signal.aborted ? CANCELLED : undefined,
    );
  return {
    "configuration.poll": (request) =>
      configuration.poll(request, performance.now()),
    "configuration.order": (request) => configuration.order(request),
    "configuration.lease": (request) =>
      configuration.lease(request, performance.now()),
    "programs.create": (request, context) =>
      runInTurn(
        context,
        () =>
          withOwner(request.programId, (owner) => owner.createProgram(request)),
      ),
    "programs.read": (request, context) =>
      runInTurn(
        context,
        () =>
          withOwner(request.programId, (owner) => owner.readProgram(request)),
      ),
    "programs.history": (request, context) =>
      runInTurn(
        context,
        () =>
          withOwner(request.programId, (owner) => owner.readHistory(request)),
      ),
    "programs.end": (request, context) =>
      runInTurn(
        context,
        () =>
          withOwner(request.programId, (owner) => owner.endProgram(request)),
      ),
    "programs.alive": (request) => {
      const owner = owners[request.group - 1];
      if (owner !== undefined) return owner.listAlivePrograms(request);
      return Promise.resolve(
        fail(RESULT_CODES.INTERNAL, "The program group does not exist"),
      );
    },
    "calls.run": (request, context) =>
      runInTurn(context, () =>
        withOwner(
          request.programId,
          (owner) => owner.runCall(request, context),
        )),
    // Waits behind the call that it belongs to.
    "calls.told": (request, context) =>
      runInTurn(context, () =>
        withOwner(
          request.programId,
          (owner) => Promise.resolve(owner.receiveDeliveredText(request)),
        )),
    "sidecars.report": (request) => {
      directory.applyReport(request, Date.now());
      return Promise.resolve(Ok({}));
    },
    "replica.status": () => Promise.resolve(Ok(parts.getStatus())),
  };
}
