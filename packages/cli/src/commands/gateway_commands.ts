/** The routing, workspaces and store commands. For them `--entry` is the URL of a gateway. */

import { readFileSync } from "node:fs";
import {
  type DocumentAck,
  fail,
  type Outcome,
  RESULT_CODES,
  type RetirementStatus,
  type RoutingDocument,
  type Workspace,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { CommandContext } from "../command_context.ts";
import { formatTable } from "../output/format_table.ts";

/** Shows the current routing document. */
export async function showRouting(context: CommandContext): Promise<void> {
  const document = await context.client.send<RoutingDocument>({
    method: "GET",
    path: "/v1/routing",
  });
  context.finish(document, describeRouting);
}

/** Replaces the whole routing document by one from a file, unless a newer version is in force. */
export async function replaceRouting(
  context: CommandContext,
  file: string,
): Promise<void> {
  let document: RoutingDocument;
  try {
    document = JSON.parse(readFileSync(file, "utf8")) as RoutingDocument;
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return context.failWithUsageError(`Cannot read ${file}: ${message}`);
  }
  const acknowledgement = await context.client.send<DocumentAck>({
    method: "PUT",
    path: "/v1/routing",
    body: document,
  });
  context.finish(
    acknowledgement,
    ({ version }) =>
      version === document.version
        ? `Version ${version} is in force`
        : `Version ${version} was newer and stays in force`,
  );
}

/** Lists the workspaces of the current document, without their keys. */
export async function listWorkspaces(context: CommandContext): Promise<void> {
  context.finish(await readWorkspaces(context), formatWorkspaces);
}

/** Shows one workspace of the current document, without its keys. */
export async function describeWorkspace(
  context: CommandContext,
  name: string,
): Promise<void> {
  const result = (await readWorkspaces(context)).andThen((workspaces) => {
    const workspace = workspaces.find((each) => each.name === name);
    if (workspace !== undefined) return Ok(workspace);
    return fail(
      RESULT_CODES.RESOURCE_NOT_FOUND,
      `Workspace ${name} does not exist`,
    );
  });
  context.finish(result, (workspace) => formatWorkspaces([workspace]));
}

/** Starts to empty a store, so that it can be removed. */
export async function retireStore(
  context: CommandContext,
  name: string,
): Promise<void> {
  const result = await context.client.send<object>({
    method: "POST",
    path: formatRetirementPath(name),
  });
  context.finish(result, () => `Store ${name} is being emptied`);
}

/** Shows whether a retired store is empty and may be removed. */
export async function showRetirement(
  context: CommandContext,
  name: string,
): Promise<void> {
  const state = await context.client.send<RetirementStatus>({
    method: "GET",
    path: formatRetirementPath(name),
  });
  context.finish(
    state,
    ({ done }) =>
      done
        ? `Store ${name} is empty and may be taken away`
        : `Store ${name} is still needed`,
  );
}

function formatRetirementPath(name: string): string {
  return `/v1/stores/${encodeURIComponent(name)}/retirement`;
}

/** A workspace with the number of its keys instead of their digests. */
interface WorkspaceSummary extends Omit<Workspace, "keyDigests"> {
  readonly keys: number;
}

async function readWorkspaces(
  context: CommandContext,
): Promise<Outcome<readonly WorkspaceSummary[]>> {
  const document = await context.client.send<RoutingDocument>({
    method: "GET",
    path: "/v1/routing",
  });
  return document.map(({ workspaces = [] }) =>
    workspaces.map(({ keyDigests, ...rest }) => ({
      ...rest,
      keys: keyDigests.length,
    }))
  );
}

function formatWorkspaces(workspaces: readonly WorkspaceSummary[]): string {
  const rows = workspaces.map((workspace) => [
    workspace.name,
    String(workspace.keys),
    String(workspace.priority ?? "of the route"),
    workspace.ratePerSecond > 0 ? String(workspace.ratePerSecond) : "no limit",
    String(workspace.burst),
  ]);
  return formatTable(
    ["workspace", "keys", "priority", "a second", "burst"],
    rows,
  );
}

function describeRouting(document: RoutingDocument): string {
  const rows = document.routes.map((route) => [
    route.name,
    `${route.host}${route.pathPrefix}`,
    route.kind,
    route.targets.map(({ service, weight }) => `${service}:${weight}`)
      .join(" "),
    String(route.timeoutMilliseconds),
  ]);
  const header = ["route", "place", "kind", "services", "timeout ms"];
  return `Version ${document.version}\n${formatTable(header, rows)}`;
}
