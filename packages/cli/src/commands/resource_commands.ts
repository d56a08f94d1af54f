/** The get, list, apply, delete and drain commands. */

import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import {
  type OrderResult,
  type Outcome,
  type Resource,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { CommandContext } from "../command_context.ts";
import { formatTable } from "../output/format_table.ts";

/** Kind and name of a resource. */
export interface ResourceName {
  readonly kind: string;
  readonly name: string;
}

/** Options of the apply command. */
export interface ApplyOptions {
  /** JSON file with the spec. */
  readonly file?: string;
  /** The spec as JSON. */
  readonly spec?: string;
  /** Expected current version; the current version is looked up if missing. */
  readonly version?: string;
  /** Idempotency key; generated if missing. */
  readonly order?: string;
}

interface ResourceList {
  readonly revision: number;
  readonly resources: readonly Resource[];
}

/** Shows one resource. */
export async function getResource(
  context: CommandContext,
  name: ResourceName,
): Promise<void> {
  const found = await context.client.send<Resource>({
    method: "GET",
    path: formatResourcePath(name),
  });
  context.finish(found, (resource) => describeResources([resource], true));
}

/** Shows all resources of a kind. */
export async function listResources(
  context: CommandContext,
  kind: string,
): Promise<void> {
  const path = `/v1/resources/${encodeURIComponent(kind)}`;
  const found = await context.client.send<ResourceList>({
    method: "GET",
    path,
  });
  context.finish(found, (list) => describeResources(list.resources, false));
}

/** Creates or updates a resource. */
export async function applyResource(
  context: CommandContext,
  name: ResourceName,
  options: ApplyOptions,
): Promise<void> {
  const text = readSpec(options);
  if (text === undefined) {
    return context.failWithUsageError(
      "Give the spec with either --file or --spec",
    );
  }
  let spec: unknown;
  try {
    spec = JSON.parse(text);
  } catch {
    return context.failWithUsageError("The spec is not valid JSON");
  }
  const version = await findVersion(context, name, options.version);
  if (version.err) return context.failWithError(version.val);
  await putSpec(context, name, {
    spec,
    version: version.val,
    order: options.order,
  });
}

/** Deletes a resource. */
export async function deleteResource(
  context: CommandContext,
  name: ResourceName,
  options: Pick<ApplyOptions, "version" | "order">,
): Promise<void> {
  const version = await findVersion(context, name, options.version);
  if (version.err) return context.failWithError(version.val);
  const query = `version=${version.val}&order_id=${
    options.order ?? randomUUID()
  }`;
  const path = `${formatResourcePath(name)}?${query}`;
  const deleted = await context.client.send<OrderResult>({
    method: "DELETE",
    path,
  });
  context.finish(
    deleted,
    (result) =>
      `Deleted ${name.kind} ${name.name}, revision ${result.revision}`,
  );
}

/** Drains an upstream, or puts it back into service. */
export async function drainUpstream(
  context: CommandContext,
  upstream: string,
  options: { readonly undo?: boolean },
): Promise<void> {
  const name = { kind: "upstream", name: upstream };
  const found = await context.client.send<Resource>({
    method: "GET",
    path: formatResourcePath(name),
  });
  if (found.err) return context.failWithError(found.val);
  const { spec, version } = found.val;
  const updatedSpec = { ...spec, drain: options.undo !== true };
  await putSpec(context, name, { spec: updatedSpec, version });
}

async function putSpec(
  context: CommandContext,
  name: ResourceName,
  order: {
    readonly spec: unknown;
    readonly version: number;
    readonly order?: string;
  },
): Promise<void> {
  const orderId = order.order ?? randomUUID();
  const body = { order_id: orderId, version: order.version, spec: order.spec };
  const path = formatResourcePath(name);
  const written = await context.client.send<OrderResult>({
    method: "PUT",
    path,
    body,
  });
  context.finish(
    written,
    (result) =>
      `${name.kind} ${name.name} has version ${result.version}, revision ${result.revision}`,
  );
}

async function findVersion(
  context: CommandContext,
  name: ResourceName,
  requestedVersion: string | undefined,
): Promise<Outcome<number>> {
  if (requestedVersion !== undefined) return Ok(Number(requestedVersion));
  const found = await context.client.send<Resource>({
    method: "GET",
    path: formatResourcePath(name),
  });
  if (found.ok) return Ok(found.val.version);
  if (found.val.code === RESULT_CODES.RESOURCE_NOT_FOUND) return Ok(0);
  return found;
}

function readSpec(options: ApplyOptions): string | undefined {
  const hasBoth = options.file !== undefined && options.spec !== undefined;
  if (hasBoth) return undefined;
  if (options.file === undefined) return options.spec;
  return readFileSync(options.file, "utf8");
}

function formatResourcePath(name: ResourceName): string {
  return `/v1/resources/${encodeURIComponent(name.kind)}/${
    encodeURIComponent(name.name)
  }`;
}

function describeResources(
  resources: readonly Resource[],
  isIndented: boolean,
): string {
  const rows = resources.map((resource) => {
    const spec = JSON.stringify(resource.spec, undefined, isIndented ? 2 : 0);
    return [
      resource.kind,
      resource.name,
      String(resource.version),
      String(resource.revision),
      spec,
    ];
  });
  return formatTable(["KIND", "NAME", "VERSION", "REVISION", "SPEC"], rows);
}
