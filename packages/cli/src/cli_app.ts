/** Defines the commands and options of mallowctl. */

import process from "node:process";
import { Command, Option } from "commander";
import {
  CommandContext,
  type CommandOutput,
  type GlobalOptions,
} from "./command_context.ts";
import {
  applyResource,
  deleteResource,
  drainUpstream,
  getResource,
  listResources,
} from "./commands/resource_commands.ts";
import {
  describeWorkspace,
  listWorkspaces,
  replaceRouting,
  retireStore,
  showRetirement,
  showRouting,
} from "./commands/gateway_commands.ts";
import { explainRequest } from "./commands/explain_command.ts";
import { createNumberParser } from "./number_option.ts";
import {
  checkSettings,
  showStatus,
  watchChanges,
} from "./commands/site_commands.ts";

const DEFAULT_ENTRY = "http://127.0.0.1:8080";

const EXAMPLES = `
Examples:
  mallowctl status
  mallowctl list upstream --output json
  mallowctl get outfit north
  mallowctl apply priority crew-on-ice --spec '{"level": 20}'
  mallowctl apply model field-guide --file field-guide.json --version 3
  mallowctl drain engine-2
  mallowctl delete priority office --version 2
  mallowctl watch --from 0
  mallowctl --entry http://127.0.0.1:8081 routing replace routing.json
  mallowctl --entry http://127.0.0.1:8081 workspaces list
  mallowctl --entry http://127.0.0.1:8081 store retire store-2
  mallowctl explain 9c41d07be2a35f68 gateway-1.log gateway-2.log
  mallowctl check-settings /etc/mallowlift/entry.ini

Exit codes:
  0 success            1 refused or failed   2 invalid command line or settings
  3 version conflict   4 resource not found  5 entry unreachable`;

/** Creates the command line; no command runs before it is parsed. */
export function createCommandLine(output: CommandOutput): Command {
  const program = new Command("mallowctl")
    .description("Operator tool of mallowlift")
    .addOption(
      new Option("--entry <url>", "URL of an entry or a gateway").env(
        "MALLOWCTL_ENTRY",
      )
        .default(DEFAULT_ENTRY),
    )
    .addOption(
      new Option("--token <token>", "operator token").env("MALLOWCTL_TOKEN")
        .default(""),
    )
    .addOption(
      new Option("-o, --output <form>", "output format").choices([
        "table",
        "json",
      ])
        .default("table"),
    )
    .addHelpText("after", EXAMPLES)
    .configureOutput({
      writeOut: (text) => output.print(text.trimEnd()),
      writeErr: (text) => output.printError(text.trimEnd()),
    });
  const createContext = () =>
    new CommandContext(program.opts<GlobalOptions>(), output);
  addResourceCommands(program, createContext);
  addSiteCommands(program, createContext);
  addGatewayCommands(program, createContext);
  return program;
}

function addResourceCommands(
  program: Command,
  createContext: () => CommandContext,
): void {
  program.command("get <kind> <name>").description("show one resource")
    .action((kind: string, name: string) =>
      getResource(createContext(), { kind, name })
    );
  program.command("list <kind>").description("show all resources of a kind")
    .action((kind: string) => listResources(createContext(), kind));
  program.command("apply <kind> <name>").description(
    "create or update a resource",
  )
    .option("-f, --file <file>", "JSON file with the spec")
    .option("-s, --spec <json>", "the spec as JSON")
    .option(
      "--version <number>",
      "expected current version; 0 for a new resource",
    )
    .option(
      "--order <id>",
      "order id, the idempotency key; repeating it has no further effect",
    )
    .action((kind: string, name: string, options: object) =>
      applyResource(createContext(), { kind, name }, options)
    );
  program.command("delete <kind> <name>").description("delete a resource")
    .option("--version <number>", "expected current version")
    .option(
      "--order <id>",
      "order id, the idempotency key; repeating it has no further effect",
    )
    .action((kind: string, name: string, options: object) =>
      deleteResource(createContext(), { kind, name }, options)
    );
  program.command("drain <upstream>").description("drain an upstream")
    .option("--undo", "put the upstream back into service")
    .action((upstream: string, options: object) =>
      drainUpstream(createContext(), upstream, options)
    );
}

function addSiteCommands(
  program: Command,
  createContext: () => CommandContext,
): void {
  program.command("status").description(
    "show members, leaders, lag, queues and refusals",
  )
    .action(() => showStatus(createContext()));
  program.command("watch").description("print changes as they arrive")
    .option(
      "--from <revision>",
      "print only changes after this revision",
      createNumberParser({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
      0,
    )
    .option(
      "--count <number>",
      "exit after this many changes",
      createNumberParser({ minimum: 1, maximum: Number.MAX_SAFE_INTEGER }),
    )
    .action((options: { from: number; count?: number }) =>
      watchChanges(createContext(), options)
    );
  program.command("explain <request> [files...]").description(
    "explain the outcome of a request from log files, or from standard input",
  )
    .action((request: string, files: readonly string[]) =>
      explainRequest(createContext(), request, files)
    );
  program.command("check-settings <file>").description(
    "check a settings file and list every mistake",
  )
    .action((file: string) => checkSettings(createContext(), file));
}

function addGatewayCommands(
  program: Command,
  createContext: () => CommandContext,
): void {
  const routing = program.command("routing").description(
    "show or replace the routing document of the gateways",
  );
  routing.command("show").description("show the current document")
    .action(() => showRouting(createContext()));
  routing.command("replace <file>").description(
    "replace the whole document; the highest version wins",
  )
    .action((file: string) => replaceRouting(createContext(), file));
  const workspaces = program.command("workspaces").description(
    "show the workspaces of the routing document, without their keys",
  );
  workspaces.command("list").description("list all workspaces")
    .action(() => listWorkspaces(createContext()));
  workspaces.command("describe <name>").description("show one workspace")
    .action((name: string) => describeWorkspace(createContext(), name));
  const store = program.command("store").description(
    "retire stores of the gateways",
  );
  store.command("retire <name>").description(
    "empty a store so that it can be removed",
  )
    .action((name: string) => retireStore(createContext(), name));
  store.command("retirement <name>").description(
    "show whether a retired store may be removed",
  )
    .action((name: string) => showRetirement(createContext(), name));
}

/** Writes to the streams of this process and sets its exit code. */
export const PROCESS_OUTPUT: CommandOutput = {
  print: (line) => void process.stdout.write(`${line}\n`),
  printError: (line) => void process.stderr.write(`${line}\n`),
  exit: (code) => {
    process.exitCode = code;
  },
};
