/** Connections of all gateways to all upstreams. */

import { GatewayConnections } from "./gateway_connections.ts";

/** Gateways whose connections are tracked at most. */
const MAX_GATEWAYS = 1_024;
/** Time without a turn after which a gateway's connections are forgotten, ms. */
const GATEWAY_RETENTION_MILLISECONDS = 60_000;

/** Rows of {@linkcode GatewayConnections} whose columns are the upstreams. */
export class ConnectionTable {
  readonly #byGateway = new Map<string, GatewayConnections>();
  readonly #freeColumns: number[] = [];
  #columnCount = 0;
  readonly #idleMilliseconds: number;

  constructor(idleMilliseconds: number) {
    this.#idleMilliseconds = idleMilliseconds;
  }

  /** Returns a column for an upstream. */
  takeColumn(): number {
    const free = this.#freeColumns.pop();
    if (free !== undefined) return free;
    this.#columnCount++;
    return this.#columnCount - 1;
  }

  /** Takes back the column of an upstream that is gone. */
  freeColumn(column: number): void {
    for (const connections of this.#byGateway.values()) {
      connections.clear(column);
    }
    this.#freeColumns.push(column);
  }

  /** Returns the connections of a gateway. */
  find(gateway: string, now: number): GatewayConnections {
    const known = this.#byGateway.get(gateway);
    if (known !== undefined) return known;
    for (const [name, connections] of this.#byGateway) {
      if (now - connections.usedAt < GATEWAY_RETENTION_MILLISECONDS) continue;
      this.#byGateway.delete(name);
    }
    const [oldest] = this.#byGateway.keys();
    if (this.#byGateway.size >= MAX_GATEWAYS && oldest !== undefined) {
      this.#byGateway.delete(oldest);
    }
    const connections = new GatewayConnections(this.#idleMilliseconds);
    this.#byGateway.set(gateway, connections);
    return connections;
  }
}
