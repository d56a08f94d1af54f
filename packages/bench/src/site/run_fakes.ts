/** Entry point of a process that serves fake engines and services on given ports. */

import process from "node:process";
import {
  FakeEngine,
  type FakeEngineOptions,
  FakeService,
} from "@mallowlift/mocks";

const HOST = "127.0.0.1";

/** Configuration of the process: the JSON in its first argument. */
export interface FakesPlan {
  readonly enginePorts: readonly number[];
  readonly servicePorts: readonly number[];
  readonly engine: Partial<FakeEngineOptions>;
}

async function runFakes(plan: FakesPlan): Promise<void> {
  for (const port of plan.enginePorts) {
    await new FakeEngine(plan.engine, { host: HOST, port }).start();
  }
  for (const port of plan.servicePorts) {
    await new FakeService({ host: HOST, port }).start();
  }
  process.stdout.write("Fakes started\n");
}

if (require.main === module) {
  process.on("SIGTERM", () => process.exit(0));
  process.on("SIGINT", () => undefined);
  void runFakes(JSON.parse(process.argv[2] ?? "{}") as FakesPlan);
}
