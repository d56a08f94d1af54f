/** What a replicated group needs from its surroundings. */

import type {
  Logger,
  Member,
  Metrics,
  ReplicaIdentity,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import type { DataFolder } from "../storage/data_folder.ts";
import type { LeadershipListener, StateMachine } from "./state_machine.ts";

/** Timing of a group. */
export interface GroupTiming {
  readonly heartbeatMilliseconds: number;
  /** Least election timeout; the greatest is twice that. */
  readonly electionMilliseconds: number;
  /** Entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Silence of a voter after which a standby takes its place. */
  readonly standbyMilliseconds: number;
}

/** Finds the way to another member. */
export type FindPeer = (member: Member) => Caller;

/** Everything that a group is made from. */
export interface GroupOptions {
  readonly group: number;
  readonly identity: ReplicaIdentity;
  readonly folder: DataFolder;
  readonly stateMachine: StateMachine;
  readonly listener: LeadershipListener;
  readonly findPeer: FindPeer;
  readonly timing: GroupTiming;
  /** Voters that the site was founded with. */
  readonly voterCount: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
