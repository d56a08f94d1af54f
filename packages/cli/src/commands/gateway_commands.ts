/** routing and store: what operators tell a gateway. `--entry` names its address. */

import { readFileSync } from "node:fs";
import type {
  DocumentAck,
  RetireState,
  RoutingDocument,
} from "@mallowlift/core";
import type { CommandContext } from "../command_context.ts";
import { formatTable } from "../output/format_table.ts";

/** Shows the routing document that is in force. */
export async function showRouting(context: CommandContext): Promise<void> {
  const document = await context.client.send<RoutingDocument>({
    method: "GET",
    path: "/v1/routing",
  });
  context.finish(document, describeRouting);
}

/** Puts a whole routing document in force. */
export async function replaceRouting(
  context: CommandContext,
  file: string,
): Promise<void> {
  let document: RoutingDocument;
  try {
    document = JSON.parse(readFileSync(file, "utf8")) as RoutingDocument;
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return context.failUsage(`Cannot read ${file}: ${message}`);
  }
  const done = await context.client.send<DocumentAck>({
    method: "PUT",
    path: "/v1/routing",
    body: document,
  });
  context.finish(
    done,
    ({ version }) =>
      version === document.version
        ? `Version ${version} is in force`
        : `Version ${version} was newer and stays in force`,
  );
}

/** Starts to empty a store. */
export async function retireStore(
  context: CommandContext,
  name: string,
): Promise<void> {
  const done = await context.client.send<object>({
    method: "POST",
    path: formatPath(name),
  });
  context.finish(done, () => `Store ${name} is being emptied`);
}

/** Shows whether a store may be taken away. */
export async function showRetirement(
  context: CommandContext,
  name: string,
): Promise<void> {
  const state = await context.client.send<RetireState>({
    method: "GET",
    path: formatPath(name),
  });
  context.finish(
    state,
    ({ done }) =>
      done
        ? `Store ${name} is empty and may be taken away`
        : `Store ${name} is still needed`,
  );
}

function formatPath(name: string): string {
  return `/v1/stores/${encodeURIComponent(name)}/retirement`;
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
  const head = ["route", "place", "kind", "services", "timeout ms"];
  return `Version ${document.version}\n${formatTable(head, rows)}`;
}
