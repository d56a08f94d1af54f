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

/** Starts a second sidecar beside the engine of the first. */
async function startTwin(
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
  const twin = new ManagedProcess({
    ...first.process.plan,
    name: "engine-1-twin",
    scriptArguments: ["--settings", path],
    logPath: join(folder, "logs", "engine-1-twin.log"),
  });
  twin.start();
  return twin;
}

function checkOrders(engine: FakeEngine): boolean {
  let highest = 0;
  for (const order of engine.orders) {
    if (order.fencing_number < highest) return false;
    highest = order.fencing_number;
  }
  return true;
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? "checks" : "ignores";
  test(`an old sidecar wakes beside an engine that ${kind} the fencing number`, async (t) => {
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
    if (engine === undefined) throw new Error("There is no engine");
    const want = async (...models: string[]) => {
      const spec = { type: "model", models: [FIELD_GUIDE, ...models] };
      await running.client.applyResource("upstream", "engine-1", spec);
    };
    const twin = await startTwin(running, folder);
    t.teardown(() => twin.kill());
    await want("first");
    await waitFor(
      "the holder loaded it",
      () => engine.models.includes("first"),
    );
    const held = engine.orders.at(-1)?.fencing_number ?? 0;
    const holder = running.site.get("engine-1").process;
    holder.signal("SIGSTOP");
    await want("second");
    await waitFor(
      "the successor took over",
      () => engine.models.includes("second"),
    );
    t.ok((engine.orders.at(-1)?.fencing_number ?? 0) > held);
    const count = engine.orders.length;
    holder.signal("SIGCONT");
    await sleep(3 * LEASE_MILLISECONDS);
    t.equal(engine.orders.length, count);
    t.ok(checkOrders(engine));
    t.same(engine.models, [FIELD_GUIDE, "second"]);
  });
}
