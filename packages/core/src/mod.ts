/** Types and utilities that all packages of mallowlift share. */

export * from "./types/mod.ts";
export * from "./result/result_codes.ts";
export * from "./result/coded_error.ts";
export * from "./shared/byte_collector.ts";
export * from "./shared/message_size.ts";
export * from "./shared/sleep.ts";
export * from "./shared/recent_minimum.ts";
export * from "./shared/serial_queue.ts";
export * from "./shared/wake_signal.ts";
export * from "./shared/digest.ts";
export * from "./shared/program_ids.ts";
export * from "./shared/scoped_id.ts";
export * from "./shared/token_estimate.ts";
export * from "./settings/fields.ts";
export * from "./settings/schema.ts";
export * from "./settings/load_settings.ts";
export * from "./settings/describe_settings.ts";
export * from "./logs/log_queue.ts";
export * from "./logs/logger.ts";
export * from "./logs/log_rate_limiter.ts";
export * from "./metrics/metrics.ts";
export * from "./supervisor/supervisor.ts";
export * from "./http/ordered_connection.ts";
export * from "./http/ordered_response.ts";
export * from "./http/ordered_server.ts";
export * from "./supervisor/final_answers.ts";
