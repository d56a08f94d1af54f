/** Health and metrics of one daemon over HTTP. */

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

/** What the server shows. */
export interface HealthServerOptions {
  readonly listen: string;
  /** Address at which metrics are served besides; none if its port is 0. */
  readonly metricsListen: string;
  /** Path at which a balancer asks. */
  readonly readinessPath: string;
  readonly metrics: Metrics;
  /** Health of each role now. */
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
    const besides = parseAddress(options.metricsListen);
    if (besides.port !== 0) {
      servers.push(new Server({ ...besides, compression: false }));
    }
    for (const each of servers) addMetrics(each, options.metrics);
    this.#servers = servers;
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    for (const server of this.#servers) await server.start();
  }

  /** Stops at once; health is not worth waiting for. */
  async stop(): Promise<void> {
    for (const server of this.#servers) await server.stop({ timeout: 0 });
  }
}

function addMetrics(server: Server, metrics: Metrics): void {
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
