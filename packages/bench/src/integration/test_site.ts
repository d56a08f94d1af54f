/** Starts a site for a test file: fakes in the test process, daemons as processes. */

import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { createDeferred, sleep } from "@mallowlift/core";
import {
  FakeEngine,
  type FakeEngineOptions,
  FakeService,
} from "@mallowlift/mocks";
import {
  OUTFIT_TOKENS,
  seedResources,
  SITE_MODEL,
  SITE_SERVICE,
} from "../site/seed_resources.ts";
import { Site } from "../site/site.ts";
import { SiteClient } from "../site/site_client.ts";
import { OPERATOR_TOKEN, type SitePlan } from "../site/site_plan.ts";

const WAIT_TIMEOUT_MILLISECONDS = 30_000;

/** A running site with its fakes and one client for each entry. */
export interface TestSite {
  readonly site: Site;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  readonly clients: readonly SiteClient[];
  /** Client of the first entry, for the outfit "north". */
  readonly client: SiteClient;
  /** Client of the first entry, for the outfit "south". */
  readonly southClient: SiteClient;
  stop(): Promise<void>;
}

/** Starts a site with its resources and waits until it is healthy. */
export async function startTestSite(
  folder: string,
  options: {
    readonly plan?: Partial<SitePlan>;
    readonly engine?: Partial<FakeEngineOptions>;
    /** True to make the answers of each engine differ from those of the others. */
    readonly salted?: boolean;
  } = {},
): Promise<TestSite> {
  mkdirSync(join(folder, "logs"), { recursive: true });
  const site = new Site({
    folder,
    engines: 2,
    services: 1,
    programGroups: 2,
    ...options.plan,
  });
  const engines = Array.from({ length: site.plan.engines }, (_, number) => {
    const salt = options.salted === true ? `engine-${number}` : "";
    return new FakeEngine({ ...options.engine, salt });
  });
  const services = Array.from(
    { length: site.plan.services },
    () => new FakeService(),
  );
  for (const fake of [...engines, ...services]) await fake.start();
  await site.start({
    engineUrls: engines.map((engine) => engine.url),
    serviceUrls: services.map((service) => service.url),
  });
  const clients = site.entryUrls.map((url) =>
    new SiteClient(url, OUTFIT_TOKENS.NORTH)
  );
  const client = clients[0];
  if (client === undefined) throw new Error("The site has no entry");
  const southClient = new SiteClient(
    site.entryUrls[0] ?? "",
    OUTFIT_TOKENS.SOUTH,
  );
  const { engines: engineCount, services: serviceCount } = site.plan;
  await seedResources(client, { engines: engineCount, services: serviceCount });
  await site.waitUntilHealthy();
  const stop = async () => {
    for (const known of [...clients, southClient]) known.close();
    await site.kill();
    for (const fake of [...engines, ...services]) await fake.stop();
  };
  return { site, engines, services, clients, client, southClient, stop };
}

/** Creates a program and returns its id; throws if it is refused. */
export async function createProgram(
  client: SiteClient,
  requestId: string,
): Promise<string> {
  const created = await client.createProgram({ request_id: requestId });
  if (created.status !== 201) throw new Error(JSON.stringify(created.body));
  return String(created.body.program);
}

/** Returns the body of a model call. */
export function createModelBody(requestId: string, tokens: number) {
  const messages = [{ role: "user", content: `Question ${requestId}` }];
  return {
    request_id: requestId,
    model: SITE_MODEL,
    messages,
    max_tokens: tokens,
  };
}

/** Returns the body of a service call that is not idempotent. */
export function createWriteBody(requestId: string) {
  return {
    request_id: requestId,
    operation: "write-reading",
    payload: { stake: requestId },
  };
}

/** Retries a write until the answer no longer says that it did not run. */
export async function retryWriteUntilRun(
  client: SiteClient,
  program: string,
  requestId: string,
) {
  for (;;) {
    const answer = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody(requestId),
    );
    if (answer.body?.error?.not_run !== true) return answer;
    await sleep(100);
  }
}

/** Waits until a condition holds; throws after a timeout. */
export async function waitFor(
  condition: string,
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MILLISECONDS;
  while (!await isMet()) {
    if (Date.now() > deadline) throw new Error(`Timed out: ${condition}`);
    await sleep(20);
  }
}

/** Returns the ids of the replicas that lead a group with programs. */
export async function listOwners(
  client: SiteClient,
): Promise<readonly string[]> {
  const status = await client.send({
    method: "GET",
    path: "/v1/status",
    token: OPERATOR_TOKEN,
  });
  const replicas = status.body.replicas as {
    replicaId: string;
    leads: number[];
  }[];
  return replicas.filter((replica) => replica.leads.some((group) => group > 0))
    .map((replica) => replica.replicaId);
}

/** Creates a promise that a test resolves itself. */
export const createSignal = createDeferred<void>;
