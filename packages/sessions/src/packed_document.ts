/**
 * Packs a routing document into compressed bytes that are sent and stored
 * without being decoded.
 *
 * A document may have thousands of routes while the smallest gateways have a
 * quarter of a core and 21 Mbit/s. The gateway that receives it from the operator
 * packs it once, stores pass on the same bytes, and gateways unpack them in steps
 * that leave the event loop free for turns in between.
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
import {
  encodePrefixed,
  PrefixedReader,
  splitBatches,
} from "./length_prefixed.ts";

const compress = promisify<Uint8Array, ZlibOptions, Buffer>(deflateRaw);
const decompress = promisify<Uint8Array, Buffer>(inflateRaw);

/** Prefers speed over size: repeated keys are compressed well at any level. */
const COMPRESSION: ZlibOptions = { level: constants.Z_BEST_SPEED };
/** Routes encoded or decoded in one step, which takes about 1 ms of a full core. */
const ROUTES_PER_BATCH = 200;

/** A document with the operator's source text, as earlier releases store it. */
export interface UnpackedDocument {
  readonly document: RoutingDocument;
  readonly source: Uint8Array;
}

type RoutingHead = Omit<RoutingDocument, "routes"> & {
  readonly routeBatches: number;
};

/**
 * Packs a document and the operator's source text.
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

/** Packs a document of an earlier release; every store gets the same bytes. */
export function packEarlierDocument(
  { document, source }: UnpackedDocument,
): PackedDocument {
  const encoded = Buffer.concat([...encodeRouting(document)]);
  const routing = deflateRawSync(encoded, COMPRESSION);
  const text = deflateRawSync(source, COMPRESSION);
  return joinDocument(document.version, routing, text);
}

/** Returns the bytes of one form of a document. */
export function findForm(
  document: PackedDocument,
  form: DocumentForm,
): Uint8Array {
  const { bytes, routingBytes } = document;
  return form === DOCUMENT_FORMS.ROUTING
    ? bytes.subarray(0, routingBytes)
    : bytes.subarray(routingBytes);
}

/** Unpacks the routing form; rejects if the bytes are not a packed document. */
export async function unpackRouting(
  routing: Uint8Array,
): Promise<RoutingDocument> {
  const reader = new PrefixedReader(await decompress(routing));
  const { routeBatches, ...rest } = reader.readValue() as RoutingHead;
  const routes: Route[] = [];
  for (let batch = 0; batch < routeBatches; batch++) {
    routes.push(...reader.readValue() as readonly Route[]);
    await setImmediate();
  }
  return { ...rest, routes };
}

/** Unpacks the operator's source text; rejects if the bytes are not compressed. */
export async function unpackSource(text: Uint8Array): Promise<Uint8Array> {
  return await decompress(text);
}

function* encodeRouting(document: RoutingDocument): Iterable<Uint8Array> {
  const { routes, ...rest } = document;
  const batches = splitBatches(routes, ROUTES_PER_BATCH);
  const head: RoutingHead = { ...rest, routeBatches: batches.length };
  yield encodePrefixed(head);
  for (const batch of batches) yield encodePrefixed(batch);
}

function joinDocument(
  version: number,
  routing: Uint8Array,
  text: Uint8Array,
): PackedDocument {
  const bytes = Buffer.concat([routing, text]);
  return { version, bytes, routingBytes: routing.length };
}
