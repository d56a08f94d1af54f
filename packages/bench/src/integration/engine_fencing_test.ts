import { join } from "node:path";
import { writeFileSync } from "node:fs";
import { sleep } from "@mallowlift/core";
import type { FakeEngine } from "@mallowlift/mocks";
import { test } from "tap";
import { findFreePorts } from "../site/free_ports.ts";
import { ManagedProcess } from "../site/managed_process.ts";
import { formatSettings } from "../site/site_plan.ts";
import { startTestSite, type TestSite, waitFor } from "./test_site.ts";

const LEASE_MILLISECONDS = 1_000;
const FIELD_GUIDE = "field-guide";

/** Starts a second sidecar for the engine of the first sidecar. */
async function startSecondSidecar(
  running: TestSite,
  folder: string,
): Promise<ManagedProcess> {
  const first = running.site.get("engine-1");
  const [listenPort, healthPort] = await findFreePorts(2);
  const { daemon, network, ...others } = first.plan.sections;
  const sections = {
    daemon: {
      ...daemon,
      name: "engine-1-twin",
      health_listen: `127.0.0.1:${healthPort}`,
    },
    network: { ...network, listen: `127.0.0.1:${listenPort}` },
    ...others,
  };
  const path = join(folder, "settings", "engine-1-twin.ini");
  writeFileSync(path, formatSettings(sections, running.site.plan.overrides));
  const secondSidecar = new ManagedProcess({
    ...first.process.plan,
    name: "engine-1-twin",
    scriptArguments: ["--settings", path],
    logPath: join(folder, "logs", "engine-1-twin.log"),
  });
  secondSidecar.start();
  return secondSidecar;
}

function areFencingNumbersOrdered(engine: FakeEngine): boolean {
  let highest = 0;
  for (const order of engine.orders) {
    if (order.fencing_number < highest) return false;
    highest = order.fencing_number;
  }
  return true;
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? "checks" : "ignores";
  test(`a frozen sidecar resumes beside an engine that ${kind} the fencing number`, async (t) => {
    const folder = t.testdir();
    const plan = {
      engines: 1,
      services: 0,
      entries: 1,
      overrides: { sidecar: { lease_milliseconds: LEASE_MILLISECONDS } },
    };
    const running = await startTestSite(folder, {
      plan,
      engine: { checksFencing },
    });
    t.teardown(() => running.stop());
    const [engine] = running.engines;
    if (engine === undefined) throw new Error("The site has no engine");
    const requestModels = async (...models: string[]) => {
      const spec = { type: "model", models: [FIELD_GUIDE, ...models] };
      await running.client.applyResource("upstream", "engine-1", spec);
    };
    const secondSidecar = await startSecondSidecar(running, folder);
    t.teardown(() => secondSidecar.kill());
    await requestModels("first");
    await waitFor(
      "the lease holder loaded the model",
      () => engine.models.includes("first"),
    );
    const holderFencingNumber = engine.orders.at(-1)?.fencing_number ?? 0;
    const holder = running.site.get("engine-1").process;
    holder.signal("SIGSTOP");
    await requestModels("second");
    await waitFor(
      "the second sidecar loaded the model",
      () => engine.models.includes("second"),
    );
    t.ok((engine.orders.at(-1)?.fencing_number ?? 0) > holderFencingNumber);
    const orderCount = engine.orders.length;
    holder.signal("SIGCONT");
    await sleep(3 * LEASE_MILLISECONDS);
    t.equal(engine.orders.length, orderCount);
    t.ok(areFencingNumbersOrdered(engine));
    t.same(engine.models, [FIELD_GUIDE, "second"]);
  });
}
