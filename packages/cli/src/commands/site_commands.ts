/** status, watch and check-settings. */

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

/** Shows the whole site. */
export async function showStatus(context: CommandContext): Promise<void> {
  const status = await context.client.send<SiteStatusBody>({
    method: "GET",
    path: "/v1/status",
  });
  context.finish(status, describeStatus);
}

/** Prints changes as they come, one JSON line each. */
export async function watchChanges(
  context: CommandContext,
  options: { readonly from: number; readonly count?: number },
): Promise<void> {
  const path = `/v1/watch?from_revision=${options.from}`;
  const opened = await context.client.open({ method: "GET", path });
  if (opened.err) return context.failWith(opened.val);
  const answer = opened.val;
  if (answer.statusCode !== 200) {
    const refused = readBody(
      answer.statusCode ?? 0,
      String(await Wreck.read(answer, {})),
    );
    if (refused.err) context.failWith(refused.val);
    return;
  }
  await printChanges(context, answer, options.count ?? Infinity);
}

/** Checks a settings file and lists every mistake. */
export function checkSettings(context: CommandContext, file: string): void {
  const settings = loadSettings(file);
  if (settings.ok) return context.print("The settings are valid");
  for (const mistake of settings.val) context.print(describeMistake(mistake));
  context.failUsage(`${settings.val.length} mistakes in ${file}`);
}

async function printChanges(
  context: CommandContext,
  answer: IncomingMessage,
  most: number,
): Promise<void> {
  let rest = "";
  let printed = 0;
  for await (const bytes of answer) {
    const lines = (rest + String(bytes as Buffer)).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      if (!line.startsWith("data:")) continue;
      context.print(line.slice(5).trim());
      if (++printed >= most) return void answer.destroy();
    }
  }
}
