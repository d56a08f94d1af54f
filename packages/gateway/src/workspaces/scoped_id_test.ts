import {
  type RoutingDocument,
  scopeId,
  type Workspace,
} from "@mallowlift/core";
import { test } from "tap";
import { findScope } from "./scoped_id.ts";

const NORTH = { name: "north", keyDigests: [] } as unknown as Workspace;
const WITH_WORKSPACES = { workspaces: [NORTH] } as unknown as RoutingDocument;
const WITHOUT_WORKSPACES = { workspaces: [] } as unknown as RoutingDocument;

test("ids stay as they are on a site without workspaces", (t) => {
  t.equal(scopeId(findScope(WITHOUT_WORKSPACES, undefined), "turn"), "turn");
  t.end();
});

// Guards against a caller without a key that continues a workspace's turn.
test("the same id differs between workspaces and for callers without one", (t) => {
  const scopes = [
    findScope(WITH_WORKSPACES, NORTH),
    findScope(WITH_WORKSPACES, { ...NORTH, name: "south" }),
    findScope(WITH_WORKSPACES, undefined),
  ];
  const ids = scopes.map((scope) => scopeId(scope, "turn"));
  t.equal(new Set([...ids, "turn"]).size, 4);
  for (const scope of scopes) t.equal(scopeId(scope, ""), "", "stays empty");
  t.end();
});
