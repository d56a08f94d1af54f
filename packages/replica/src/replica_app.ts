/** The handlers of the replica role, in one place. */

import { performance } from "node:perf_hooks";
import {
  fail,
  findProgramGroup,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import type { HandlerTable } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { ConfigurationOwner } from "./configuration/configuration_owner.ts";
import type { ProgramOwner } from "./programs/program_owner.ts";
import type { SidecarDirectory } from "./sidecars/sidecar_directory.ts";
import type { ReplicaStatus } from "@mallowlift/core";

/** What the handlers pass their work to. */
export interface ReplicaParts {
  readonly configuration: ConfigurationOwner;
  readonly owners: readonly ProgramOwner[];
  readonly directory: SidecarDirectory;
  describe(): ReplicaStatus;
}

/** Lists what a replica serves to entries, sidecars and operators. */
export function createReplicaHandlers(parts: ReplicaParts): HandlerTable {
  const { configuration, owners, directory } = parts;
  const withOwner = <T>(
    programId: string,
    serve: (owner: ProgramOwner) => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> => {
    const owner = owners[findProgramGroup(programId, owners.length) - 1];
    if (owner !== undefined) return serve(owner);
    return Promise.resolve(
      fail(RESULT_CODES.INTERNAL, "There is no such group"),
    );
  };
  return {
    "configuration.poll": (request) =>
      configuration.poll(request, performance.now()),
    "configuration.order": (request) => configuration.order(request),
    "configuration.lease": (request) =>
      configuration.lease(request, performance.now()),
    "programs.create": (request) =>
      withOwner(request.programId, (owner) => owner.createProgram(request)),
    "programs.read": (request) =>
      withOwner(request.programId, (owner) => owner.readProgram(request)),
    "programs.history": (request) =>
      withOwner(request.programId, (owner) => owner.readHistory(request)),
    "programs.end": (request) =>
      withOwner(request.programId, (owner) => owner.endProgram(request)),
    "programs.alive": (request) => {
      const owner = owners[request.group - 1];
      if (owner !== undefined) return owner.listAlive(request);
      return Promise.resolve(
        fail(RESULT_CODES.INTERNAL, "There is no such group"),
      );
    },
    "calls.run": (request, context) =>
      withOwner(request.programId, (owner) => owner.runCall(request, context)),
    "calls.told": (request) =>
      withOwner(
        request.programId,
        (owner) => Promise.resolve(owner.takeTold(request)),
      ),
    "sidecars.report": (request) => {
      directory.takeReport(request, Date.now());
      return Promise.resolve(Ok({}));
    },
    "replica.status": () => Promise.resolve(Ok(parts.describe())),
  };
}
