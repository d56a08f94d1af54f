/** Dependencies and timing of a replicated group. */

import type {
  Logger,
  Member,
  Metrics,
  ReplicaIdentity,
} from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";
import type { DataFolder } from "../storage/data_folder.ts";
import type { LeadershipListener, StateMachine } from "./state_machine.ts";

/** Timing of a group. */
export interface GroupTiming {
  /** Time between two heartbeats of a leader, ms. */
  readonly heartbeatMilliseconds: number;
  /** Minimum election timeout, ms; the maximum is twice that. */
  readonly electionMilliseconds: number;
  /** Applied entries after which the next snapshot is due at the latest. */
  readonly snapshotEntries: number;
  /** Silence of a voter after which another member replaces it, ms. */
  readonly standbyMilliseconds: number;
}

/** Returns the connection to another member. */
export type FindPeer = (member: Member) => PeerClient;

/** Options of a replicated group. */
export interface GroupOptions {
  readonly group: number;
  readonly identity: ReplicaIdentity;
  readonly folder: DataFolder;
  readonly stateMachine: StateMachine;
  readonly listener: LeadershipListener;
  readonly findPeer: FindPeer;
  readonly timing: GroupTiming;
  /** Number of voters that the group should have. */
  readonly voterCount: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
