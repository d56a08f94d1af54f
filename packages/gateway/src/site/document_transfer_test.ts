import { Buffer } from "node:buffer";
import {
  DOCUMENT_FORMS,
  type DocumentPart,
  type DocumentProgress,
  fail,
  type Outcome,
  type PackedDocument,
  type PutDocumentPart,
  type ReadDocumentPart,
  RESULT_CODES,
} from "@mallowlift/core";
import { test } from "tap";
import { Ok } from "ts-results";
import { readDocument, sendDocument } from "./document_transfer.ts";
import type { SiteClient } from "./site_client.ts";

const BYTES = Buffer.alloc(600_000, "document");
const DOCUMENT: PackedDocument = {
  version: 7,
  bytes: BYTES,
  routingBytes: 400_000,
};
const TIMEOUT = fail(RESULT_CODES.TIMEOUT, "The call timed out");
const READ_OPTIONS = {
  version: 7,
  form: DOCUMENT_FORMS.ROUTING,
  isCancelled: () => false,
};

/**
 * Creates a client whose leader answers with the given function, and records
 * the offsets of the requests.
 */
function answerPuts(
  answer: (
    request: PutDocumentPart,
    count: number,
  ) => Outcome<DocumentProgress>,
): { readonly client: Pick<SiteClient, "call">; readonly offsets: number[] } {
  const offsets: number[] = [];
  const call = (_name: string, request: PutDocumentPart) => {
    offsets.push(request.offset);
    return Promise.resolve(answer(request, offsets.length));
  };
  return { client: { call: call as never }, offsets };
}

function answerReads(
  answer: (request: ReadDocumentPart, count: number) => Outcome<DocumentPart>,
): {
  readonly client: Pick<SiteClient, "callLeader">;
  readonly asked: ReadDocumentPart[];
} {
  const asked: ReadDocumentPart[] = [];
  const callLeader = (_name: string, request: ReadDocumentPart) => {
    asked.push(request);
    return Promise.resolve(answer(request, asked.length));
  };
  return { client: { callLeader: callLeader as never }, asked };
}

function createPartReply(
  request: ReadDocumentPart,
  version: number,
  bytes: Uint8Array = BYTES,
): Outcome<DocumentPart> {
  const { offset, mostBytes } = request;
  return Ok({
    version,
    totalBytes: bytes.length,
    part: bytes.subarray(offset, offset + mostBytes),
  });
}

test("a document is sent in parts, from the offset that the leader already has", async (t) => {
  let held = 100_000;
  const { client, offsets } = answerPuts(({ offset, part }) => {
    if (offset === held) held += part.length;
    const version = held === BYTES.length ? 7 : 6;
    return Ok({ version, heldBytes: held });
  });
  const sent = await sendDocument(client, DOCUMENT);
  t.same(sent.unwrap(), { version: 7 });
  t.equal(
    offsets[1],
    100_000,
    "the first answer tells how many bytes the leader has",
  );
  t.ok(offsets.length < 12, "parts grow on a fast link");
});

test("a document that is older than the one in force is acknowledged at once", async (t) => {
  const { client, offsets } = answerPuts(() =>
    Ok({ version: 9, heldBytes: 0 })
  );
  t.same((await sendDocument(client, DOCUMENT)).unwrap(), { version: 9 });
  t.equal(offsets.length, 1);
});

test("sending fails with the error of the call, or if the leader keeps no parts", async (t) => {
  const silent = answerPuts(() => TIMEOUT);
  t.equal((await sendDocument(silent.client, DOCUMENT)).err, true);
  t.equal(silent.offsets.length, 1);
  const discarding = answerPuts(() => Ok({ version: 6, heldBytes: 0 }));
  const ended = await sendDocument(discarding.client, DOCUMENT);
  t.equal(ended.err && ended.val.code.name, "OVERLOADED");
});

test("reading continues after timeouts and with a new leader", async (t) => {
  const { client, asked } = answerReads((request, count) => {
    if (count % 3 === 0) return TIMEOUT;
    // A leader that has been replaced and has not noticed yet.
    if (count % 5 === 0) return createPartReply(request, 6);
    return createPartReply(request, 7);
  });
  const read = await readDocument(client, READ_OPTIONS);
  t.equal(read?.version, 7);
  t.ok(read !== undefined && BYTES.equals(read.bytes));
  const offsets = asked.map(({ offset }) => offset);
  t.same(offsets, offsets.toSorted((left, right) => left - right));
});

test("a read restarts with the version in force if the requested one is no longer available", async (t) => {
  const newer = Buffer.alloc(300_000, "newer");
  const { client } = answerReads((request, count) =>
    count <= 3
      ? createPartReply(request, 7)
      : createPartReply(request, 8, newer)
  );
  const read = await readDocument(client, READ_OPTIONS);
  t.equal(read?.version, 8);
  t.ok(read !== undefined && newer.equals(read.bytes));
});

test("reading ends when it is cancelled", async (t) => {
  const { client, asked } = answerReads(() => TIMEOUT);
  const isCancelled = () => asked.length >= 3;
  t.equal(
    await readDocument(client, { ...READ_OPTIONS, isCancelled }),
    undefined,
  );
});
