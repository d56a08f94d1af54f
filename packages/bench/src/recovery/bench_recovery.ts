/**
 * `npm run bench:recovery`: measures how long writes fail after the loss of a
 * leader, and how long a replica takes to recover from the loss of its disk.
 */

import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { sleep } from "@mallowlift/core";
import { Command } from "commander";
import { createNumberParser } from "@mallowlift/cli";
import { LatencyRecorder, type LatencySummary } from "../measure/latency.ts";
import { recordResults } from "../measure/record_results.ts";
import { startFakes } from "../site/fakes_process.ts";
import {
  OUTFIT_TOKENS,
  seedResources,
  SITE_MODEL,
  SITE_SERVICE,
} from "../site/seed_resources.ts";
import { Site } from "../site/site.ts";
import { SiteClient } from "../site/site_client.ts";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";

const ENGINES = 2;
const SERVICES = 1;
const RETRY_MILLISECONDS = 10;
const HISTORY_PROGRAMS = 40;
const HISTORY_TEXT = "stake 12 ".repeat(28_000);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<void> {
  const options = new Command("npm run bench:recovery --")
    .option(
      "--rounds <number>",
      "leaders to kill, and disks to lose",
      createNumberParser({ minimum: 1, maximum: 10_000 }),
      12,
    )
    .parse()
    .opts<{ rounds: number }>();
  const folder = resolve(".site", "bench-recovery");
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(join(folder, "logs"), { recursive: true });
  const fakes = await startFakes({
    name: "fakes",
    logFolder: join(folder, "logs"),
    engines: ENGINES,
    services: SERVICES,
    engine: { cacheTokens: 5_000_000 },
  });
  const site = new Site({
    folder,
    engines: ENGINES,
    services: SERVICES,
    entries: 1,
  });
  await site.start(fakes);
  try {
    const client = new SiteClient(site.entryUrls[0] ?? "", OUTFIT_TOKENS.NORTH);
    await seedResources(client, { engines: ENGINES, services: SERVICES });
    await site.waitUntilHealthy();
    await fillHistory(client);
    const rounds = options.rounds;
    const leaderLoss = await measureLeaderLoss(site, client, rounds);
    print(describe("unavailable after kill -9 of a leader", leaderLoss));
    const diskLoss = await measureDiskLoss(site, client, rounds);
    print(describe("back to full redundancy after a lost disk", diskLoss));
    print(
      `Results: ${
        recordResults("bench-recovery", { away: leaderLoss, whole: diskLoss })
      }`,
    );
    client.close();
  } finally {
    await site.kill();
    await fakes.process.kill();
  }
}

/** Fills the state with histories, so that recovery has data to transfer. */
async function fillHistory(client: SiteClient): Promise<void> {
  for (let number = 0; number < HISTORY_PROGRAMS; number++) {
    const created = await client.createProgram({
      request_id: `long-${number}`,
    });
    await client.callModel(String(created.body.program), {
      request_id: "long",
      model: SITE_MODEL,
      messages: [{ role: "user", content: HISTORY_TEXT }],
      max_tokens: 1,
    });
  }
}

/** Kills the leaders of the groups in turn and measures the time to the next write. */
async function measureLeaderLoss(
  site: Site,
  client: SiteClient,
  rounds: number,
): Promise<LatencySummary> {
  const recorder = new LatencyRecorder();
  for (let round = 0; round < rounds; round++) {
    const created = await client.createProgram({ request_id: `away-${round}` });
    const program = String(created.body.program);
    const leader = await findLeader(
      client,
      1 + (round % site.plan.programGroups),
    );
    const killed = site.get(leader).process;
    await killed.kill();
    const startedAt = performance.now();
    await writeUntilAnswered(client, program);
    recorder.add(performance.now() - startedAt);
    killed.start();
    await site.waitUntilHealthy();
  }
  return recorder.summarize();
}

/**
 * Deletes the data of the replicas in turn and measures the time until each is
 * healthy again: a member of every group that has applied all committed entries.
 */
async function measureDiskLoss(
  site: Site,
  client: SiteClient,
  rounds: number,
): Promise<LatencySummary> {
  const recorder = new LatencyRecorder();
  for (let round = 0; round < rounds; round++) {
    const name = `replica-${1 + (round % site.plan.replicas)}`;
    await site.get(name).process.kill();
    site.deleteData(name);
    const startedAt = performance.now();
    site.get(name).process.start();
    await site.waitUntilHealthy([name]);
    recorder.add(performance.now() - startedAt);
    await site.waitUntilHealthy();
    await client.createProgram({ request_id: `after-${round}` });
  }
  return recorder.summarize();
}

async function findLeader(client: SiteClient, group: number): Promise<string> {
  for (;;) {
    const status = await client.send({
      method: "GET",
      path: "/v1/status",
      token: OPERATOR_TOKEN,
    });
    const groups = status.body.groups as { group: number; leader: string }[];
    const leader = groups.find((known) => known.group === group)?.leader;
    if (leader !== undefined) return leader;
    await sleep(RETRY_MILLISECONDS);
  }
}

async function writeUntilAnswered(
  client: SiteClient,
  program: string,
): Promise<void> {
  for (;;) {
    const answer = await client.callService(program, SITE_SERVICE, {
      request_id: "write",
      operation: "write-reading",
      payload: { stake: 1 },
    });
    if (answer.status === 200) return;
    await sleep(RETRY_MILLISECONDS);
  }
}

function describe(label: string, summary: LatencySummary): string {
  const { count, p50, p95 } = summary;
  return `${label}: p50 ${p50} ms, p95 ${p95} ms in ${count} rounds`;
}

if (require.main === module) {
  main().then(() => process.exit(0), (thrown) => {
    process.stderr.write(
      `${thrown instanceof Error ? thrown.stack : String(thrown)}\n`,
    );
    process.exit(1);
  });
}
