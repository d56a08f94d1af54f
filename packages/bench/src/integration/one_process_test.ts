import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { hashText, sleep } from "@mallowlift/core";
import { FakeEngine } from "@mallowlift/mocks";
import { test } from "tap";
import { findFreePorts } from "../site/free_ports.ts";
import { ManagedProcess } from "../site/managed_process.ts";
import { OUTFIT_TOKENS, seedResources } from "../site/seed_resources.ts";
import { SiteClient } from "../site/site_client.ts";
import { formatSettings, OPERATOR_TOKEN, SITE_KEY } from "../site/site_plan.ts";
import { createModelBody, createProgram } from "./test_site.ts";

test("a small site runs all roles in one process", async (t) => {
  const folder = t.testdir();
  const engine = new FakeEngine();
  await engine.start();
  const [listen, health, http] = await findFreePorts(3);
  mkdirSync(join(folder, "data"));
  const path = join(folder, "all.ini");
  const settings = formatSettings({
    daemon: {
      name: "all",
      roles: "replica,sidecar,entry",
      failure_domain: "hall-kawah",
      health_listen: `127.0.0.1:${health}`,
    },
    network: {
      listen: `127.0.0.1:${listen}`,
      shared_key: SITE_KEY,
      replicas: `r1=127.0.0.1:${listen}`,
    },
    replica: { id: "r1", data_folder: join(folder, "data") },
    sidecar: { upstream: "engine-1", upstream_url: engine.url },
    entry: {
      http_listen: `127.0.0.1:${http}`,
      operator_token_sha256: hashText(OPERATOR_TOKEN),
    },
  }, {});
  writeFileSync(path, settings);
  const daemon = new ManagedProcess({
    name: "all",
    script: require.resolve("@mallowlift/daemon/bin/mallowlift.js"),
    scriptArguments: ["--settings", path],
    logPath: join(folder, "all.log"),
  });
  t.teardown(async () => {
    await daemon.kill();
    await engine.stop();
  });
  const client = new SiteClient(
    `http://127.0.0.1:${http}`,
    OUTFIT_TOKENS.NORTH,
  );
  for (const round of [1, 2]) {
    daemon.start();
    await seedResources(client, { engines: 1, services: 0 });
    // Resources need only a leader, but callers are served only after the entry has
    // confirmed its configuration, which its health reports.
    await waitUntilHealthy(`http://127.0.0.1:${health}/healthz`);
    const program = await createProgram(client, "small");
    let answer = await client.callModel(
      program,
      createModelBody(`q${round}`, 4),
    );
    while (answer.body.error?.not_run === true) {
      await sleep(100);
      answer = await client.callModel(program, createModelBody(`q${round}`, 4));
    }
    t.equal(answer.body.turn, round);
    t.equal(await daemon.stop(), 0);
  }
  client.close();
});

async function waitUntilHealthy(url: string): Promise<void> {
  while (true) {
    const answer = await fetch(url).catch(() => undefined);
    await answer?.arrayBuffer();
    if (answer?.ok === true) return;
    await sleep(50);
  }
}
