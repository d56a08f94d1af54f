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

async function createWholePart(
  version: number,
): Promise<Outcome<DocumentPart>> {
  const packed = await packDocument(createDocument(version), new Uint8Array());
  const part = findForm(packed, DOCUMENT_FORMS.ROUTING);
  return Ok({ version, totalBytes: part.length, part });
}

/** Creates a follower whose leader answers reads with the given function. */
function createFollower(
  answer: (request: ReadDocumentPart) => Promise<Outcome<DocumentPart>>,
): DocumentFollower {
  const callLeader = (_name: string, request: ReadDocumentPart) =>
    answer(request);
  const client = { callLeader: callLeader as never } as unknown as SiteClient;
  return new DocumentFollower(client, SILENT_LOGGER);
}

test("an announced document is read and put in force", async (t) => {
  const requestedVersions: number[] = [];
  const follower = createFollower(({ version }) => {
    requestedVersions.push(version);
    return createWholePart(version);
  });
  t.notOk(follower.isNewest, "no document is in force yet");
  follower.announce(3);
  t.notOk(follower.isNewest, "the announced document has not arrived yet");
  await follower.changed.wait();
  t.equal(follower.routes?.document.version, 3);
  t.ok(follower.isNewest);
  follower.announce(2);
  follower.announce(3);
  t.ok(follower.isNewest);
  t.same(requestedVersions, [3], "a known version is not read again");
});

test("a version that is announced during a read is read afterwards", async (t) => {
  const unblock = createDeferred<void>();
  const follower = createFollower(async ({ version }) => {
    if (version === 3) await unblock.promise;
    return await createWholePart(version);
  });
  follower.announce(3);
  follower.announce(5);
  unblock.resolve(undefined);
  await follower.changed.wait();
  t.equal(
    follower.routes?.document.version,
    3,
    "the read that has begun is finished",
  );
  t.notOk(follower.isNewest);
  await follower.changed.wait();
  t.equal(follower.routes?.document.version, 5);
});

test("a whole document from a leader's reply is not replaced by an older one", async (t) => {
  const unblock = createDeferred<void>();
  const follower = createFollower(async ({ version }) => {
    await unblock.promise;
    return await createWholePart(version);
  });
  follower.announce(3);
  follower.receive(createDocument(4));
  unblock.resolve(undefined);
  follower.announce(6);
  await follower.changed.wait();
  t.equal(
    follower.routes?.document.version,
    6,
    "version 3 never came back into force",
  );
});
