/** Validates the entries of an instance list from an untrusted source. */

import {
  fail,
  type Outcome,
  RESULT_CODES,
  type UpstreamInstance,
} from "@mallowlift/core";
import type Joi from "joi";
import { Ok } from "ts-results";

const MAX_PORT = 65_535;
const ADDRESS = /^[\w.:[\]-]+:(\d{1,5})$/;

/** An entry with the field names of {@linkcode UpstreamInstance}, not validated yet. */
export type InstanceCandidate = {
  readonly [F in keyof UpstreamInstance]?: unknown;
};

let schema: Joi.ObjectSchema | undefined;

/** Creates the schema at first use: most daemons read no list and start faster without Joi. */
function getSchema(): Joi.ObjectSchema {
  return schema ??= createSchema(require("joi"));
}

function createSchema(joi: typeof Joi): Joi.ObjectSchema {
  return joi.object({
    id: joi.string().required(),
    service: joi.string().required(),
    address: joi.string().required().custom(checkAddress),
    failureDomain: joi.string().required(),
    slots: joi.number().integer().min(1).required(),
    leaving: joi.boolean().required(),
    bornAt: joi.number().integer().min(0),
    ownId: joi.string(),
  }).required().unknown().options({ convert: false });
}

/**
 * Returns the instance of an entry, or the field that is invalid. An instance
 * with a start time gets an id for this incarnation, so that state kept for an
 * earlier incarnation no longer applies; `ownId` keeps the id of the entry.
 *
 * @example
 * ```ts
 * readInstance({ ...entry, id: "u-1", bornAt: 1_700 }).unwrap().id; // "u-1@1700"
 * readInstance({ ...entry, slots: "4" }).err; // true
 * ```
 */
export function readInstance(
  candidate: InstanceCandidate,
): Outcome<UpstreamInstance> {
  const { error } = getSchema().validate(candidate);
  if (error !== undefined) {
    const [detail] = error.details;
    const field = detail?.path.join(".") ?? "";
    return fail(RESULT_CODES.INVALID_FIELD, field === "" ? "entry" : field);
  }
  const instance = candidate as unknown as UpstreamInstance;
  const { id, bornAt } = instance;
  if (bornAt === undefined) return Ok(instance);
  return Ok({ ...instance, id: `${id}@${bornAt}`, ownId: id });
}

/**
 * Validates entries, and passes the reason of each invalid one to the callback.
 * Of several entries with the same id, the newest incarnation is used, or the
 * first entry if their start times are equal.
 */
export function readInstances(
  candidates: readonly InstanceCandidate[],
  onInvalidEntry: (reason: string) => void,
): readonly UpstreamInstance[] {
  const known = new Map<string, UpstreamInstance>();
  for (const candidate of candidates) {
    const read = readInstance(candidate);
    if (read.err) {
      onInvalidEntry(read.val.message);
      continue;
    }
    const instance = read.val;
    const ownId = findOwnId(instance);
    const other = known.get(ownId);
    if (other !== undefined) onInvalidEntry("id stands twice");
    if (other === undefined || isNewerIncarnation(instance, other)) {
      known.set(ownId, instance);
    }
  }
  return [...known.values()];
}

/**
 * Keeps the previous entry of an instance where a read returns an earlier
 * incarnation, as a delayed response does. An instance with a new address is
 * always accepted, since its clock may have been set back.
 */
export function keepNewerIncarnations(
  read: readonly UpstreamInstance[],
  previous: readonly UpstreamInstance[],
): readonly UpstreamInstance[] {
  const known = new Map(
    previous.map((instance) => [findOwnId(instance), instance]),
  );
  return read.map((instance) => {
    const other = known.get(findOwnId(instance));
    const isStale = other !== undefined &&
      other.address === instance.address && isNewerIncarnation(other, instance);
    return isStale ? { ...other, leaving: instance.leaving } : instance;
  });
}

function findOwnId(instance: UpstreamInstance): string {
  return instance.ownId ?? instance.id;
}

function isNewerIncarnation(
  instance: UpstreamInstance,
  other: UpstreamInstance,
): boolean {
  return (instance.bornAt ?? 0) > (other.bornAt ?? 0);
}

function checkAddress(address: string): string {
  const port = Number(ADDRESS.exec(address)?.[1] ?? 0);
  if (port >= 1 && port <= MAX_PORT) return address;
  throw new Error("The address has no valid port");
}
