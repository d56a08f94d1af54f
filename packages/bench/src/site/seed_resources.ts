/** Creates the resources of the example site: two outfits, models and services. */

import { hashText, sleep } from "@mallowlift/core";
import type { SiteClient } from "./site_client.ts";

const RETRY_MILLISECONDS = 100;
const WRITE_TIMEOUT_MILLISECONDS = 30_000;

/** Bearer tokens of the two outfits of the example site. */
export const OUTFIT_TOKENS = {
  NORTH: "north-token",
  SOUTH: "south-token",
} as const;

/** Name of the model of the example site. */
export const SITE_MODEL = "field-guide";

/** Name of the service of the example site. */
export const SITE_SERVICE = "stake-records";

interface SeedResource {
  readonly kind: string;
  readonly name: string;
  readonly spec: object;
}

/**
 * Writes all resources of the example site. Retries each write for up to 30
 * seconds, then throws.
 */
export async function seedResources(
  client: SiteClient,
  options: { readonly engines: number; readonly services: number },
): Promise<void> {
  for (const resource of listResources(options)) await write(client, resource);
}

function listResources(
  options: { readonly engines: number; readonly services: number },
): readonly SeedResource[] {
  const resources: SeedResource[] = [
    { kind: "model", name: SITE_MODEL, spec: { version: "1" } },
    {
      kind: "service",
      name: SITE_SERVICE,
      spec: { idempotent_operations: ["read-stake"] },
    },
    { kind: "priority", name: "crew-on-ice", spec: { level: 20 } },
    { kind: "priority", name: "office", spec: { level: 5 } },
  ];
  for (let number = 1; number <= options.engines; number++) {
    const spec = { type: "model", models: [SITE_MODEL] };
    resources.push({ kind: "upstream", name: `engine-${number}`, spec });
  }
  for (let number = 1; number <= options.services; number++) {
    const spec = { type: "service", service: SITE_SERVICE };
    resources.push({ kind: "upstream", name: `stakes-${number}`, spec });
  }
  for (
    const [name, token] of [["north", OUTFIT_TOKENS.NORTH], [
      "south",
      OUTFIT_TOKENS.SOUTH,
    ]]
  ) {
    const spec = {
      token_sha256: [hashText(token ?? "")],
      models: [SITE_MODEL],
      services: [SITE_SERVICE],
      priorities: ["crew-on-ice", "office"],
    };
    resources.push({ kind: "outfit", name: name ?? "", spec });
  }
  return resources;
}

async function write(
  client: SiteClient,
  resource: SeedResource,
): Promise<void> {
  const deadline = Date.now() + WRITE_TIMEOUT_MILLISECONDS;
  for (;;) {
    try {
      const answer = await client.applyResource(
        resource.kind,
        resource.name,
        resource.spec,
      );
      if (answer.status === 200) return;
    } catch {
      // The entry may not be listening yet.
    }
    if (Date.now() > deadline) {
      throw new Error(`Writing ${resource.kind} ${resource.name} timed out`);
    }
    await sleep(RETRY_MILLISECONDS);
  }
}
