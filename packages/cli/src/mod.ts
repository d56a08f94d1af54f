/** Public modules of mallowctl, the operators' tool. */

export * from "./cli_app.ts";
export * from "./client/operator_client.ts";
export * from "./commands/explain_command.ts";
export * from "./exit_codes.ts";
export * from "./number_option.ts";
export * from "./main.ts";
export * from "./output/describe_status.ts";
export * from "./output/format_table.ts";
