/** Reads one entry of an instance list that anybody may have written. */

import {
  fail,
  type Outcome,
  RESULT_CODES,
  type UpstreamInstance,
} from "@mallowlift/core";
import joi from "joi";
import { Ok } from "ts-results";

/** Highest port. */
const LAST_PORT = 65_535;
const ADDRESS = /^[\w.:[\]-]+:(\d{1,5})$/;

/** What an entry says, under the product's names; nothing is believed yet. */
export type InstanceCandidate = {
  readonly [F in keyof UpstreamInstance]?: unknown;
};

const SCHEMA = joi.object({
  id: joi.string().required(),
  service: joi.string().required(),
  address: joi.string().required().custom(checkAddress),
  failureDomain: joi.string().required(),
  slots: joi.number().integer().min(1).required(),
  leaving: joi.boolean().required(),
  bornAt: joi.number().integer().min(0),
  ownId: joi.string(),
}).required().unknown().options({ convert: false });

/**
 * Returns the instance that an entry names, or why it names none. An instance
 * that tells its start gets an id for this life: whatever is remembered of an
 * earlier one under the same own id then ends with it.
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
  const { error } = SCHEMA.validate(candidate);
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
 * Reads entries that nobody has checked; tells why each of the others names
 * nothing to use. An id that stands twice counts once, for its latest
 * life or else its first entry.
 */
export function readInstances(
  candidates: readonly InstanceCandidate[],
  onStrange: (reason: string) => void,
): readonly UpstreamInstance[] {
  const known = new Map<string, UpstreamInstance>();
  for (const candidate of candidates) {
    const read = readInstance(candidate);
    if (read.err) {
      onStrange(read.val.message);
      continue;
    }
    const instance = read.val;
    const ownId = findOwnId(instance);
    const other = known.get(ownId);
    if (other !== undefined) onStrange("id stands twice");
    if (other === undefined || isLaterLife(instance, other)) {
      known.set(ownId, instance);
    }
  }
  return [...known.values()];
}

/**
 * Keeps what was read before where a reading tells of an earlier life again,
 * as one that was answered late does. An instance that went elsewhere is
 * believed at once: its clock may have been set back.
 */
export function keepLaterLives(
  read: readonly UpstreamInstance[],
  before: readonly UpstreamInstance[],
): readonly UpstreamInstance[] {
  const known = new Map(
    before.map((instance) => [findOwnId(instance), instance]),
  );
  return read.map((instance) => {
    const other = known.get(findOwnId(instance));
    const isOlder = other !== undefined &&
      other.address === instance.address && isLaterLife(other, instance);
    return isOlder ? { ...other, leaving: instance.leaving } : instance;
  });
}

function findOwnId(instance: UpstreamInstance): string {
  return instance.ownId ?? instance.id;
}

function isLaterLife(life: UpstreamInstance, other: UpstreamInstance): boolean {
  return (life.bornAt ?? 0) > (other.bornAt ?? 0);
}

function checkAddress(address: string): string {
  const port = Number(ADDRESS.exec(address)?.[1] ?? 0);
  if (port >= 1 && port <= LAST_PORT) return address;
  throw new Error("No address");
}
