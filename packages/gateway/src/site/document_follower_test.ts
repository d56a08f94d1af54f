import {
  createDeferred,
  DOCUMENT_FORMS,
  type DocumentPart,
  type Outcome,
  type ReadDocumentPart,
  type RoutingDocument,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { findForm, packDocument } from "@mallowlift/sessions";
import { test } from "tap";
import { Ok } from "ts-results";
import { DocumentFollower } from "./document_follower.ts";
import type { SiteClient } from "./site_client.ts";

function createDocument(version: number): RoutingDocument {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
}

async function tellWhole(version: number): Promise<Outcome<DocumentPart>> {
  const packed = await packDocument(createDocument(version), new Uint8Array());
  const part = findForm(packed, DOCUMENT_FORMS.ROUTING);
  return Ok({ version, totalBytes: part.length, part });
}

/** A follower of a leader that answers by a function. */
function follow(
  answer: (request: ReadDocumentPart) => Promise<Outcome<DocumentPart>>,
): DocumentFollower {
  const callLeader = (_name: string, request: ReadDocumentPart) =>
    answer(request);
  const client = { callLeader: callLeader as never } as unknown as SiteClient;
  return new DocumentFollower(client, SILENT_LOGGER);
}

test("what a leader tells of is read and put in force", async (t) => {
  const asked: number[] = [];
  const follower = follow(({ version }) => {
    asked.push(version);
    return tellWhole(version);
  });
  t.notOk(follower.isNewest, "nothing is known yet");
  follower.note(3);
  t.notOk(follower.isNewest, "it is told of, but not here");
  await follower.changed.wait();
  t.equal(follower.routes?.document.version, 3);
  t.ok(follower.isNewest);
  follower.note(2);
  follower.note(3);
  t.ok(follower.isNewest);
  t.same(asked, [3], "what is known is not read again");
});

test("a version that is told of during a reading is read after it", async (t) => {
  const held = createDeferred<void>();
  const follower = follow(async ({ version }) => {
    if (version === 3) await held.promise;
    return await tellWhole(version);
  });
  follower.note(3);
  follower.note(5);
  held.resolve(undefined);
  await follower.changed.wait();
  t.equal(follower.routes?.document.version, 3, "it ends what it has begun");
  t.notOk(follower.isNewest);
  await follower.changed.wait();
  t.equal(follower.routes?.document.version, 5);
});

test("a document that was told whole is not replaced by an older one", async (t) => {
  const held = createDeferred<void>();
  const follower = follow(async ({ version }) => {
    await held.promise;
    return await tellWhole(version);
  });
  follower.note(3);
  follower.take(createDocument(4));
  held.resolve(undefined);
  follower.note(6);
  await follower.changed.wait();
  t.equal(follower.routes?.document.version, 6, "and never was 3 again");
});
