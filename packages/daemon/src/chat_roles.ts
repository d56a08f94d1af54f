/** Loads the roles that serve the product's own chat interface. */

import {
  type Child,
  type Logger,
  type Metrics,
  ROLES,
  type Settings,
} from "@mallowlift/core";
import type { HandlerTable, PeerLinks } from "@mallowlift/transport";

/** A role of this daemon. */
export interface RunningRole extends Child {
  isHealthy(): boolean;
  createHandlers?(): HandlerTable;
}

/** What the roles of the chat interface are created with. */
export interface ChatRoleOptions {
  readonly settings: Settings;
  readonly bootId: string;
  /** Returns the address at which other daemons reach this one. */
  readonly getAddress: () => string;
  readonly links: PeerLinks;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Creates one role of the chat interface. */
export type ChatRoleFactory = (options: ChatRoleOptions) => RunningRole;

const LOADERS: Readonly<Record<string, () => Promise<ChatRoleFactory>>> = {
  [ROLES.ENTRY]: async () => {
    const { EntryRole } = await import("@mallowlift/entry");
    return (options) => new EntryRole(options);
  },
  [ROLES.REPLICA]: async () => {
    const { ReplicaRole } = await import("@mallowlift/replica");
    return (options) => new ReplicaRole(options);
  },
  [ROLES.SIDECAR]: async () => {
    const { SidecarRole } = await import("@mallowlift/sidecar");
    return (options) => {
      const { settings, links } = options;
      const replicas = settings.network.replicas.map((replica) =>
        links.get(replica.address)
      );
      return new SidecarRole({ ...options, replicas });
    };
  },
};

/**
 * Loads the modules of the named roles of the chat interface. Gateways and
 * stores start without them and the libraries that only they use.
 *
 * @example
 * ```ts
 * const factories = await loadChatRoles(["replica", "entry"]);
 * factories.get("entry")?.(options);
 * ```
 */
export async function loadChatRoles(
  roles: readonly string[],
): Promise<ReadonlyMap<string, ChatRoleFactory>> {
  const factories = new Map<string, ChatRoleFactory>();
  for (const role of roles) {
    const factory = await LOADERS[role]?.();
    if (factory !== undefined) factories.set(role, factory);
  }
  return factories;
}
