/** The work behind the operators' routes of resources. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  checkSpec,
  findResourceKind,
  isResourceName,
} from "@mallowlift/configuration";
import {
  type ConfigurationUpdate,
  fail,
  type Outcome,
  type Resource,
  type ResourceKind,
  type ResourceOrder,
  type ResourceSpecs,
  RESULT_CODES,
} from "@mallowlift/core";
import Joi from "joi";
import { Ok } from "ts-results";
import type { EntryParts } from "../entry_parts.ts";
import { answerError, answerValue, refuse } from "../http/answer.ts";
import { checkBody } from "../http/check_body.ts";
import { checkOperator } from "./check_operator.ts";
import {
  CONFIGURATION_GROUP,
  pollConfiguration,
  SHORT_CALL_MILLISECONDS,
} from "./poll_configuration.ts";

/** Body that writes a resource. */
interface PutResourceBody {
  readonly order_id: string;
  readonly version: number;
  readonly spec: unknown;
}

const orderId = Joi.string().pattern(/^[A-Za-z0-9._:-]{1,128}$/);

const PUT_RESOURCE_SCHEMA = Joi.object<PutResourceBody>({
  order_id: orderId.required(),
  version: Joi.number().integer().min(0).required(),
  spec: Joi.object().unknown(true).required(),
});

interface ResourceName {
  readonly kind: ResourceKind;
  readonly name: string;
}

/** Lists the resources of a kind, from a quorum. */
export async function listResources(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const kind = checkKind(parts, request);
  if (kind.err) return refuse(parts, toolkit, kind.val);
  const whole = await readWhole(parts);
  if (whole.err) return answerError(toolkit, whole.val, "owner");
  const resources = whole.val.resources.filter((resource) =>
    resource.kind === kind.val
  );
  return answerValue(toolkit, { revision: whole.val.revision, resources });
}

/** Reads one resource, from a quorum. */
export async function getResource(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const name = checkName(parts, request);
  if (name.err) return refuse(parts, toolkit, name.val);
  const whole = await readWhole(parts);
  if (whole.err) return answerError(toolkit, whole.val, "owner");
  const resource = whole.val.resources.find((known) =>
    isNamed(known, name.val)
  );
  if (resource !== undefined) return answerValue(toolkit, resource);
  const message = "There is no such resource";
  return refuse(parts, toolkit, {
    code: RESULT_CODES.RESOURCE_NOT_FOUND,
    message,
  });
}

/** Writes a resource. */
export async function putResource(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const name = checkName(parts, request);
  if (name.err) return refuse(parts, toolkit, name.val);
  const body = checkBody(PUT_RESOURCE_SCHEMA, request.payload);
  if (body.err) return refuse(parts, toolkit, body.val);
  const spec: Outcome<ResourceSpecs[ResourceKind]> = checkSpec(
    name.val.kind,
    body.val.spec,
  );
  if (spec.err) return refuse(parts, toolkit, spec.val);
  return await sendOrder(parts, toolkit, {
    ...name.val,
    orderId: body.val.order_id,
    expectedVersion: body.val.version,
    spec: spec.val,
  });
}

/** Deletes a resource. */
export async function deleteResource(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const name = checkName(parts, request);
  if (name.err) return refuse(parts, toolkit, name.val);
  const version = Number(request.query.version);
  const order = orderId.required().validate(request.query.order_id);
  if (
    !Number.isSafeInteger(version) || version < 1 || order.error !== undefined
  ) {
    const message = "Not allowed: version and order_id are required";
    return refuse(parts, toolkit, {
      code: RESULT_CODES.INVALID_FIELD,
      message,
    });
  }
  return await sendOrder(parts, toolkit, {
    ...name.val,
    orderId: String(request.query.order_id),
    expectedVersion: version,
  });
}

async function readWhole(
  parts: EntryParts,
): Promise<Outcome<ConfigurationUpdate>> {
  return await pollConfiguration(parts, -1, 0);
}

async function sendOrder(
  parts: EntryParts,
  toolkit: ResponseToolkit,
  order: ResourceOrder,
): Promise<ResponseObject> {
  const result = await parts.owners.call(CONFIGURATION_GROUP, {
    name: "configuration.order",
    createRequest: () => order,
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS });
  if (result.err) return answerError(toolkit, result.val, "owner");
  const { kind, name } = order;
  return answerValue(toolkit, { kind, name, ...result.val });
}

function checkKind(parts: EntryParts, request: Request): Outcome<ResourceKind> {
  const allowed = checkOperator(parts, request);
  if (allowed.err) return allowed;
  const kind = findResourceKind(String(request.params.kind));
  if (kind !== undefined) return Ok(kind);
  return fail(
    RESULT_CODES.RESOURCE_NOT_FOUND,
    "There is no such kind of resource",
  );
}

function checkName(parts: EntryParts, request: Request): Outcome<ResourceName> {
  const kind = checkKind(parts, request);
  if (kind.err) return kind;
  const name = String(request.params.name);
  if (isResourceName(name)) return Ok({ kind: kind.val, name });
  return fail(
    RESULT_CODES.INVALID_FIELD,
    "Not allowed: the name of the resource",
  );
}

function isNamed(resource: Resource, name: ResourceName): boolean {
  return resource.kind === name.kind && resource.name === name.name;
}
