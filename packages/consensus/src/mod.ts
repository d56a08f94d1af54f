/** Replicated logs: elections, quorum appends, snapshots and membership changes. */

export * from "./storage/record.ts";
export * from "./storage/durable_file.ts";
export * from "./storage/write_ahead_log.ts";
export * from "./storage/snapshot_store.ts";
export * from "./storage/data_folder.ts";
export * from "./group/state_machine.ts";
export * from "./group/applier.ts";
export * from "./group/entry_store.ts";
export * from "./group/group_log.ts";
export * from "./group/group_options.ts";
export * from "./group/membership.ts";
export * from "./group/membership_keeper.ts";
export * from "./group/admission_control.ts";
export * from "./group/replicated_group.ts";
export * from "./founding/founding.ts";
export * from "./founding/replica_source.ts";
export * from "./replica_groups.ts";
