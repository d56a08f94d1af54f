/** The dependencies that the request handlers of an entry share. */

import type { ConfigurationFollower } from "@mallowlift/configuration";
import type { Logger, Metrics } from "@mallowlift/core";
import type { PeerLinks } from "@mallowlift/transport";
import type { BodyBudget } from "./http/body_budget.ts";
import type { OpenRequests } from "./http/open_requests.ts";
import type { UnreadStreams } from "./http/unread_streams.ts";
import type { OwnerDirectory } from "./owners/owner_directory.ts";

/** Dependencies and state of a running entry. */
export interface EntryContext {
  readonly owners: OwnerDirectory;
  readonly links: PeerLinks;
  readonly follower: ConfigurationFollower;
  readonly requests: OpenRequests;
  readonly bodies: BodyBudget;
  readonly unread: UnreadStreams;
  readonly operatorTokenSha256: string;
  /** Maximum size of a body, bytes. */
  readonly maxBodyBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the group that owns a program. */
  findGroup(programId: string): number;
  /** True if the configuration was confirmed recently enough to serve requests. */
  isFresh(): boolean;
  /** True once this entry drains and rejects new requests. */
  isDraining(): boolean;
  /** Aborts once this entry drains. */
  readonly drainSignal: AbortSignal;
}
