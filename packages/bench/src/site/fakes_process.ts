/** Starts the fake engines and services of a site in a separate process. */

import { join } from "node:path";
import type { FakeEngineOptions } from "@mallowlift/mocks";
import { findFreePorts } from "./free_ports.ts";
import { ManagedProcess } from "./managed_process.ts";
import type { FakesPlan } from "./run_fakes.ts";
import type { SiteUpstreams } from "./site.ts";

const HOST = "127.0.0.1";

/** A running process that serves fake engines and services. */
export interface FakesProcess extends SiteUpstreams {
  readonly process: ManagedProcess;
}

/** Starts a process with the given numbers of fake engines and services. */
export async function startFakes(options: {
  readonly name: string;
  readonly logFolder: string;
  readonly engines: number;
  readonly services: number;
  readonly engine: Partial<FakeEngineOptions>;
}): Promise<FakesProcess> {
  const ports = await findFreePorts(options.engines + options.services);
  const plan: FakesPlan = {
    enginePorts: ports.slice(0, options.engines),
    servicePorts: ports.slice(options.engines),
    engine: options.engine,
  };
  const process = new ManagedProcess({
    name: options.name,
    script: require.resolve("./run_fakes.js"),
    scriptArguments: [JSON.stringify(plan)],
    logPath: join(options.logFolder, `${options.name}.log`),
  });
  process.start();
  return {
    process,
    engineUrls: plan.enginePorts.map(formatUrl),
    serviceUrls: plan.servicePorts.map(formatUrl),
  };
}

function formatUrl(port: number): string {
  return `http://${HOST}:${port}`;
}
