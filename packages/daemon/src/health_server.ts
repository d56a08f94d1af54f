/** Serves the health and metrics of one daemon over HTTP. */

import { type ResponseToolkit, Server } from "@hapi/hapi";
import type { Child, Metrics } from "@mallowlift/core";
import { parseAddress } from "@mallowlift/transport";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Health of one role. */
export interface RoleHealth {
  readonly role: string;
  readonly healthy: boolean;
}

/** Options of the health server. */
export interface HealthServerOptions {
  readonly listen: string;
  /** Additional address that serves only metrics; disabled if its port is 0. */
  readonly metricsListen: string;
  /** Path at which load balancers check readiness. */
  readonly readinessPath: string;
  readonly metrics: Metrics;
  /** Returns the present health of each role. */
  listHealth(): readonly RoleHealth[];
}

/** Serves the readiness path and /metrics. */
export class HealthServer implements Child {
  readonly name = "health";
  readonly #servers: readonly Server[];

  constructor(options: HealthServerOptions) {
    const { host, port } = parseAddress(options.listen);
    const server = new Server({ host, port, compression: false });
    server.route({
      method: "GET",
      path: options.readinessPath,
      handler: (_request, toolkit) =>
        describeHealth(options.listHealth(), toolkit),
    });
    const servers = [server];
    const metricsAddress = parseAddress(options.metricsListen);
    if (metricsAddress.port !== 0) {
      servers.push(new Server({ ...metricsAddress, compression: false }));
    }
    for (const each of servers) addMetricsRoute(each, options.metrics);
    this.#servers = servers;
  }

  /** Starts all servers; throws if a port cannot be opened. */
  async start(): Promise<void> {
    for (const server of this.#servers) await server.start();
  }

  /** Stops all servers without waiting for open health checks. */
  async stop(): Promise<void> {
    for (const server of this.#servers) await server.stop({ timeout: 0 });
  }
}

function addMetricsRoute(server: Server, metrics: Metrics): void {
  server.route({
    method: "GET",
    path: "/metrics",
    handler: async (_request, toolkit) => {
      const { registry } = metrics;
      const text = await registry.metrics();
      return toolkit.response(text).type(registry.contentType);
    },
  });
}

function describeHealth(
  roles: readonly RoleHealth[],
  toolkit: ResponseToolkit,
) {
  const healthy = roles.every((role) => role.healthy);
  const status = healthy ? HTTP_OK : HTTP_UNAVAILABLE;
  return toolkit.response({ healthy, roles }).code(status);
}
