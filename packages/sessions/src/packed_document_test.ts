import { Buffer } from "node:buffer";
import { DOCUMENT_FORMS, type RoutingDocument } from "@mallowlift/core";
import { test } from "tap";
import {
  findForm,
  packDocument,
  packEarlierDocument,
  unpackRouting,
  unpackSource,
} from "./packed_document.ts";

const ROUTE = {
  kind: "idempotent" as const,
  targets: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
  timeoutMilliseconds: 1_000,
  targetMilliseconds: 100,
  priority: 0,
  maxAttempts: 2,
  keepsHistory: false,
  retentionMilliseconds: 0,
  prefersSameUpstream: false,
};

const DOCUMENT: RoutingDocument = {
  version: 7,
  routes: Array.from({ length: 1_000 }, (_, number) => ({
    ...ROUTE,
    name: `r-${number}`,
    host: `h-${number}.example`,
    pathPrefix: `/${number}/`,
  })),
  services: [{
    name: "s",
    maxConnections: 1,
    tokensPerEvent: 1,
    isEngine: false,
  }],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
};
const SOURCE = Buffer.from(JSON.stringify(DOCUMENT));

test("unpacking a packed document returns the original", async (t) => {
  const packed = await packDocument(DOCUMENT, SOURCE);
  const routing = findForm(packed, DOCUMENT_FORMS.ROUTING);
  const source = findForm(packed, DOCUMENT_FORMS.SOURCE);
  t.equal(packed.version, 7);
  t.same(await unpackRouting(routing), DOCUMENT);
  t.same(await unpackSource(source), SOURCE);
});

test("a document of an earlier release is packed to the same bytes", async (t) => {
  const earlier = packEarlierDocument({ document: DOCUMENT, source: SOURCE });
  t.same(earlier, await packDocument(DOCUMENT, SOURCE));
});

test("bytes that are not a packed document are refused", async (t) => {
  await t.rejects(unpackRouting(Buffer.from("none")));
  await t.rejects(unpackSource(Buffer.from("none")));
});
