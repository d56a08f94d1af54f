/** `npm run bench:policy`: compares placement policies and queue orders on the same programs. */

import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import Wreck from "@hapi/wreck";
import { sleep } from "@mallowlift/core";
import { Command, Option } from "commander";
import { createNumberListParser, createNumberParser } from "@mallowlift/cli";
import { recordResults } from "../measure/record_results.ts";
import { startFakes } from "../site/fakes_process.ts";
import { OUTFIT_TOKENS, seedResources } from "../site/seed_resources.ts";
import { Site } from "../site/site.ts";
import { SiteClient } from "../site/site_client.ts";
import { runWorkload, type WorkloadResult } from "./run_workload.ts";
import { planWorkload, type WorkloadName, WORKLOADS } from "./workload.ts";

const SLOTS = 3;
const STEP_MILLISECONDS = 10;
const CACHE_TOKENS = 60_000;
const ENGINES_PER_PROCESS = 4;
/** Time that engines have to release the sessions of ended programs. */
const RELEASE_MILLISECONDS = 6_000;

/** A placement policy combined with a queue order. */
interface PolicyChoice {
  readonly name: string;
  readonly placement: string;
  readonly order: string;
}

const POLICIES: readonly PolicyChoice[] = [
  { name: "round_robin", placement: "round_robin", order: "first_come" },
  { name: "least_loaded", placement: "least_loaded", order: "first_come" },
  {
    name: "prefix_affinity",
    placement: "prefix_affinity",
    order: "first_come",
  },
  {
    name: "expected_finish",
    placement: "expected_finish",
    order: "first_come",
  },
  {
    name: "expected_finish+attained",
    placement: "expected_finish",
    order: "least_attained",
  },
];

/** Measurements of one policy. */
export interface PolicyResult extends WorkloadResult {
  readonly policy: string;
  readonly workload: string;
  readonly load: number;
  readonly seed: number;
  readonly engines: number;
  readonly promptTokens: number;
  /** Prompt tokens that an engine computed although they had been sent before. */
  readonly wastedTokens: number;
  /** Sessions of ended programs that engines still held after {@linkcode RELEASE_MILLISECONDS}. */
  readonly heldAfterEnd: number;
}

interface BenchOptions {
  readonly workload: WorkloadName;
  readonly load: number;
  readonly policy?: string;
  readonly seeds: readonly number[];
  readonly seconds: number;
  readonly engines: number;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<void> {
  const options = new Command("npm run bench:policy --")
    .addOption(
      new Option("--workload <name>").choices(Object.values(WORKLOADS)).default(
        "firnwatch",
      ),
    )
    .option(
      "--load <share>",
      "share of capacity",
      createNumberParser({ minimum: 0.01, maximum: 10, allowsFraction: true }),
      0.9,
    )
    .addOption(
      new Option("--policy <name>", "one policy; all if missing").choices(
        POLICIES.map((policy) => policy.name),
      ),
    )
    .option(
      "--seeds <numbers>",
      "seeds, separated by commas",
      createNumberListParser({ minimum: 0, maximum: 2 ** 31 - 1 }),
      [1, 2],
    )
    .option(
      "--seconds <number>",
      "time of arrivals",
      createNumberParser({ minimum: 1, maximum: 3_600 }),
      20,
    )
    .option(
      "--engines <number>",
      "engines",
      createNumberParser({ minimum: 1, maximum: 200 }),
      12,
    )
    .parse()
    .opts<BenchOptions>();
  const results: PolicyResult[] = [];
  const policies = POLICIES.filter((known) =>
    options.policy === undefined || known.name === options.policy
  );
  for (const seed of options.seeds) {
    for (const policy of policies) {
      const result = await measurePolicy(policy, options, seed);
      results.push(result);
      print(describe(result));
    }
  }
  const name = `policy-${options.workload}-${options.load}`;
  print(`Results: ${recordResults(name, { results })}`);
}

async function measurePolicy(
  policy: PolicyChoice,
  options: BenchOptions,
  seed: number,
): Promise<PolicyResult> {
  const engines = options.engines;
  const folder = resolve(".site", "bench-policy");
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(join(folder, "logs"), { recursive: true });
  const fakes = await Promise.all(
    Array.from(
      { length: Math.ceil(engines / ENGINES_PER_PROCESS) },
      (_, number) =>
        startFakes({
          name: `fakes-${number}`,
          logFolder: join(folder, "logs"),
          engines: Math.min(
            ENGINES_PER_PROCESS,
            engines - number * ENGINES_PER_PROCESS,
          ),
          services: 0,
          engine: {
            stepMilliseconds: STEP_MILLISECONDS,
            maxBatch: SLOTS,
            cacheTokens: CACHE_TOKENS,
          },
        }),
    ),
  );
  const engineUrls = fakes.flatMap((running) => running.engineUrls);
  const site = new Site({
    folder,
    engines,
    services: 0,
    entries: 2,
    overrides: {
      daemon: { log_level: "warn" },
      replica: { placement: policy.placement, calls_per_program: 64 },
      sidecar: { order: policy.order, slots: SLOTS, queue_limit: 16 },
    },
  });
  await site.start({ engineUrls, serviceUrls: [] });
  try {
    const north = new SiteClient(site.entryUrls[0] ?? "", OUTFIT_TOKENS.NORTH);
    const south = new SiteClient(site.entryUrls[1] ?? "", OUTFIT_TOKENS.SOUTH);
    await seedResources(north, { engines, services: 0 });
    await site.waitUntilHealthy();
    const seconds = options.seconds;
    const programs = planWorkload({
      name: options.workload,
      seed,
      seconds,
      load: options.load,
      slots: SLOTS * engines,
      stepMilliseconds: STEP_MILLISECONDS,
    });
    const { result, ended } = await runWorkload(programs, {
      findClient: (outfit) => outfit === "north" ? north : south,
      stepMilliseconds: STEP_MILLISECONDS,
      endsAt: seconds * 2_000,
    });
    const totals = await readTotals(engineUrls);
    await sleep(RELEASE_MILLISECONDS);
    const heldAfterEnd = await countHeldSessions(engineUrls, ended);
    north.close();
    south.close();
    const computed = totals.promptTokens - totals.cachedTokens;
    return {
      ...result,
      policy: policy.name,
      workload: options.workload,
      load: options.load,
      seed,
      engines,
      promptTokens: totals.promptTokens,
      wastedTokens: Math.max(0, computed - result.firstTimeTokens),
      heldAfterEnd,
    };
  } finally {
    await site.kill();
    for (const running of fakes) await running.process.kill();
  }
}

interface EngineTotals {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

async function readTotals(urls: readonly string[]): Promise<EngineTotals> {
  let promptTokens = 0;
  let cachedTokens = 0;
  for (const url of urls) {
    const answer = await Wreck.get(`${url}/v1/load`);
    const load = JSON.parse(String(answer.payload)) as {
      prompt_tokens: number;
      cached_tokens: number;
    };
    promptTokens += load.prompt_tokens;
    cachedTokens += load.cached_tokens;
  }
  return { promptTokens, cachedTokens };
}

async function countHeldSessions(
  urls: readonly string[],
  ended: ReadonlySet<string>,
): Promise<number> {
  let held = 0;
  for (const url of urls) {
    const answer = await Wreck.get(`${url}/v1/cache/sessions`);
    const { sessions } = JSON.parse(String(answer.payload)) as {
      sessions: readonly string[];
    };
    held += sessions.filter((session) => ended.has(session)).length;
  }
  return held;
}

function describe(result: PolicyResult): string {
  const { program, slowdown, firstToken, tokenGap } = result;
  const wasted =
    Math.round((result.wastedTokens / result.promptTokens) * 1_000) / 10;
  const refused = result.refusals.map((known) =>
    `${known.count} ${known.reason}`
  ).join(", ");
  return `${result.workload} ${result.load} seed ${result.seed} ${result.policy}: ` +
    `${result.finished}/${result.programs} programs, ` +
    `p50 ${program.p50} p95 ${program.p95} p99 ${program.p99} ms, ` +
    `slowdown p95 ${(slowdown.p95 / 1_000).toFixed(2)}, ` +
    `first token p95 ${firstToken.p95} ms, gap p95 ${tokenGap.p95} ms, ` +
    `wasted ${wasted}% of ${result.promptTokens}, fairness ${
      result.fairness.toFixed(2)
    }, ` +
    `held ${result.heldAfterEnd}, refused ${refused || "none"}`;
}

if (require.main === module) {
  main().then(() => process.exit(0), (thrown) => {
    process.stderr.write(
      `${thrown instanceof Error ? thrown.stack : String(thrown)}\n`,
    );
    process.exit(1);
  });
}
