/**
 * A routing document as bytes that travel and are kept without being read.
 *
 * The load it answers: a document of thousands of routes on a site whose
 * smallest gateways have a quarter of a core and 21 Mbit/s. Whoever takes it
 * from the operator packs it once; stores pass the same bytes on, and gateways
 * unpack them in steps, between which turns go on.
 */

import { Buffer } from "node:buffer";
import { setImmediate } from "node:timers/promises";
import { promisify } from "node:util";
import {
  constants,
  deflateRaw,
  deflateRawSync,
  inflateRaw,
  type ZlibOptions,
} from "node:zlib";
import {
  DOCUMENT_FORMS,
  type DocumentForm,
  type PackedDocument,
  type Route,
  type RoutingDocument,
} from "@mallowlift/core";
import { cutBatches, encodeSized, SizedReader } from "./sized_values.ts";

const compress = promisify<Uint8Array, ZlibOptions, Buffer>(deflateRaw);
const decompress = promisify<Uint8Array, Buffer>(inflateRaw);

/** Speed goes before size: repeated keys are found at any level. */
const COMPRESSION: ZlibOptions = { level: constants.Z_BEST_SPEED };
/** Routes encoded or decoded in one step: about a millisecond of a whole core. */
const BATCH_ROUTES = 200;

/** A document with its operator's text, as earlier releases keep it. */
export interface UnpackedDocument {
  readonly document: RoutingDocument;
  readonly source: Uint8Array;
}

type RoutingHead = Omit<RoutingDocument, "routes"> & {
  readonly routeBatches: number;
};

/**
 * Packs a document and its operator's text.
 *
 * @example
 * ```ts
 * const packed = await packDocument(document, source);
 * const same = await unpackRouting(findForm(packed, DOCUMENT_FORMS.ROUTING));
 * ```
 */
export async function packDocument(
  document: RoutingDocument,
  source: Uint8Array,
): Promise<PackedDocument> {
  const encoded: Uint8Array[] = [];
  for (const value of encodeRouting(document)) {
    encoded.push(value);
    await setImmediate();
  }
  const routing = await compress(Buffer.concat(encoded), COMPRESSION);
  const text = await compress(source, COMPRESSION);
  return joinDocument(document.version, routing, text);
}

/** Packs what an earlier release has kept; every store gets the same bytes. */
export function packEarlierDocument(
  { document, source }: UnpackedDocument,
): PackedDocument {
  const encoded = Buffer.concat([...encodeRouting(document)]);
  const routing = deflateRawSync(encoded, COMPRESSION);
  const text = deflateRawSync(source, COMPRESSION);
  return joinDocument(document.version, routing, text);
}

/** The bytes of one form of a document. */
export function findForm(
  document: PackedDocument,
  form: DocumentForm,
): Uint8Array {
  const { bytes, routingBytes } = document;
  return form === DOCUMENT_FORMS.ROUTING
    ? bytes.subarray(0, routingBytes)
    : bytes.subarray(routingBytes);
}

/** Unpacks the routes and services; rejects if the bytes are none. */
export async function unpackRouting(
  routing: Uint8Array,
): Promise<RoutingDocument> {
  const reader = new SizedReader(await decompress(routing));
  const { routeBatches, ...rest } = reader.takeValue() as RoutingHead;
  const routes: Route[] = [];
  for (let batch = 0; batch < routeBatches; batch++) {
    routes.push(...reader.takeValue() as readonly Route[]);
    await setImmediate();
  }
  return { ...rest, routes };
}

/** Unpacks the operator's text; rejects if the bytes are none. */
export async function unpackSource(text: Uint8Array): Promise<Uint8Array> {
  return await decompress(text);
}

function* encodeRouting(document: RoutingDocument): Iterable<Uint8Array> {
  const { routes, ...rest } = document;
  const batches = cutBatches(routes, BATCH_ROUTES);
  const head: RoutingHead = { ...rest, routeBatches: batches.length };
  yield encodeSized(head);
  for (const batch of batches) yield encodeSized(batch);
}

function joinDocument(
  version: number,
  routing: Uint8Array,
  text: Uint8Array,
): PackedDocument {
  const bytes = Buffer.concat([routing, text]);
  return { version, bytes, routingBytes: routing.length };
}
