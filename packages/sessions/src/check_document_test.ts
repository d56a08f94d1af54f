import {
  hashText,
  type RoutingDocument,
  type Workspace,
} from "@mallowlift/core";
import { test } from "tap";
import { checkDocument } from "./check_document.ts";

const NORTH: Workspace = {
  name: "north",
  keyDigests: [hashText("key-1"), hashText("key-2")],
  ratePerSecond: 10,
  burst: 5,
};
const SOUTH: Workspace = { ...NORTH, name: "south", keyDigests: [] };

function check(...workspaces: readonly Workspace[]): string {
  const document: RoutingDocument = {
    version: 1,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    workspaces,
  };
  const checked = checkDocument(document);
  return checked.ok ? "valid" : checked.val.message;
}

test("workspaces may have any number of keys, including none", (t) => {
  t.equal(check(NORTH, SOUTH), "valid");
  t.equal(check(), "valid");
  t.equal(check({ ...NORTH, priority: 0, ratePerSecond: 0 }), "valid");
  t.end();
});

test("a document in which two workspaces share a key is refused", (t) => {
  const shared = { ...SOUTH, keyDigests: [hashText("key-2")] };
  t.match(check(NORTH, shared), "north and south share a key");
  t.notMatch(check(NORTH, shared), hashText("key-2"));
  t.end();
});

test("invalid workspaces are refused with their names", (t) => {
  t.match(check(NORTH, { ...NORTH, keyDigests: [] }), "north is listed twice");
  t.match(check({ ...NORTH, name: "" }), "no name");
  t.match(check({ ...NORTH, ratePerSecond: -1 }), "the rate");
  t.match(check({ ...NORTH, burst: NaN }), "the burst");
  t.match(check({ ...NORTH, priority: 0.5 }), "the priority");
  t.match(
    check({ ...NORTH, keyDigests: ["key-1"] }),
    "must be given as its SHA-256",
  );
  const broken = { name: "east" } as unknown as Workspace;
  t.match(check(broken), "east");
  t.end();
});
