/** The status, watch and check-settings commands. */

import { type IncomingMessage } from "node:http";
import type { Buffer } from "node:buffer";
import Wreck from "@hapi/wreck";
import { describeMistake, loadSettings } from "@mallowlift/core";
import { readBody } from "../client/operator_client.ts";
import type { CommandContext } from "../command_context.ts";
import {
  describeStatus,
  type SiteStatusBody,
} from "../output/describe_status.ts";

/** Shows the status of the site. */
export async function showStatus(context: CommandContext): Promise<void> {
  const status = await context.client.send<SiteStatusBody>({
    method: "GET",
    path: "/v1/status",
  });
  context.finish(status, describeStatus);
}

/** Prints changes as they arrive, each as one line of JSON. */
export async function watchChanges(
  context: CommandContext,
  options: { readonly from: number; readonly count?: number },
): Promise<void> {
  const path = `/v1/watch?from_revision=${options.from}`;
  const result = await context.client.open({ method: "GET", path });
  if (result.err) return context.failWithError(result.val);
  const response = result.val;
  if (response.statusCode !== 200) {
    const failure = readBody(
      response.statusCode ?? 0,
      String(await Wreck.read(response, {})),
    );
    if (failure.err) context.failWithError(failure.val);
    return;
  }
  await printChanges(context, response, options.count ?? Infinity);
}

/** Checks a settings file and prints every mistake. */
export function checkSettings(context: CommandContext, file: string): void {
  const settings = loadSettings(file);
  if (settings.ok) return context.print("The settings are valid");
  for (const mistake of settings.val) context.print(describeMistake(mistake));
  context.failWithUsageError(`${settings.val.length} mistakes in ${file}`);
}

async function printChanges(
  context: CommandContext,
  response: IncomingMessage,
  maxCount: number,
): Promise<void> {
  let partialLine = "";
  let printedCount = 0;
  for await (const bytes of response) {
    const lines = (partialLine + String(bytes as Buffer)).split("\n");
    partialLine = lines.pop() ?? "";
    for (const line of lines) {
      if (!line.startsWith("data:")) continue;
      context.print(line.slice(5).trim());
      if (++printedCount >= maxCount) return void response.destroy();
    }
  }
}
