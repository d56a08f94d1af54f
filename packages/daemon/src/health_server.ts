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
  /** Path at which a balancer asks. */
  readonly readinessPath: string;
  readonly metrics: Metrics;
  /** Health of each role now. */
  listHealth(): readonly RoleHealth[];
}

/** Serves the readiness path and /metrics. */
export class HealthServer implements Child {
  readonly name = "health";
  readonly #server: Server;

  constructor(options: HealthServerOptions) {
    const { host, port } = parseAddress(options.listen);
    this.#server = new Server({ host, port, compression: false });
    this.#server.route([
      {
        method: "GET",
        path: options.readinessPath,
        handler: (_request, toolkit) =>
          describeHealth(options.listHealth(), toolkit),
      },
      {
        method: "GET",
        path: "/metrics",
        handler: async (_request, toolkit) => {
          const text = await options.metrics.registry.metrics();
          return toolkit.response(text).type(
            options.metrics.registry.contentType,
          );
        },
      },
    ]);
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Stops at once; health is not worth waiting for. */
  async stop(): Promise<void> {
    await this.#server.stop({ timeout: 0 });
  }
}

function describeHealth(
  roles: readonly RoleHealth[],
  toolkit: ResponseToolkit,
) {
  const healthy = roles.every((role) => role.healthy);
  const status = healthy ? HTTP_OK : HTTP_UNAVAILABLE;
  return toolkit.response({ healthy, roles }).code(status);
}
