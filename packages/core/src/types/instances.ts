/** Messages with the list of upstream instances. */

import type { UpstreamInstance } from "./routing.ts";

/** The instance list as it was last read. */
export interface InstanceList {
  /** Changes whenever the content changes. */
  readonly revision: string;
  readonly instances: readonly UpstreamInstance[];
}

/** Requests the instance list from any store, leader or not. */
export interface ReadInstanceList {
  /** Revision that the gateway has; empty if it has no list. */
  readonly revision: string;
  /** The store reads the list again if its own is older than this, ms. */
  readonly maxAgeMilliseconds: number;
}

/** Update of the instance list from one revision to another. */
export interface InstanceUpdate {
  readonly revision: string;
  /**
   * Revision that the update applies to; empty if it holds the complete list.
   */
  readonly base: string;
  readonly changed: readonly UpstreamInstance[];
  /** Ids of instances that are no longer listed. */
  readonly removed: readonly string[];
}

/** Reply to a {@linkcode ReadInstanceList}. */
export interface InstanceListReply {
  /** A packed {@linkcode InstanceUpdate}; missing if nothing has changed. */
  readonly update?: Uint8Array;
  /** Set only by stores of earlier releases, which send the complete list. */
  readonly list?: InstanceList;
  /**
   * Revision that the age applies to; empty without a list, missing in earlier
   * releases. A gateway that has another revision must not use the age for it.
   */
  readonly listRevision?: string;
  /** Time since the list was read; -1 if it never was. */
  readonly listAgeMilliseconds: number;
}
