import type { Route, RoutingDocument } from "@mallowlift/core";
import { test } from "tap";
import { chooseService, RouteTable } from "./route_table.ts";

function createRoute(name: string, pathPrefix: string): Route {
  return {
    name,
    host: "a.example",
    pathPrefix,
    kind: "idempotent",
    targets: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
    timeoutMilliseconds: 1_000,
    targetMilliseconds: 100,
    priority: 0,
    maxAttempts: 2,
    keepsHistory: false,
    retentionMilliseconds: 0,
    prefersSameUpstream: false,
  };
}

const DOCUMENT: RoutingDocument = {
  version: 1,
  routes: [createRoute("short", "/a/"), createRoute("long", "/a/b/")],
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

test("the longest prefix of the host wins", (t) => {
  const table = new RouteTable(DOCUMENT);
  t.equal(table.find("a.example", "/a/b/c")?.name, "long");
  t.equal(table.find("a.example", "/a/bc")?.name, "short");
  t.equal(table.find("a.example", "/b/"), undefined);
  t.equal(table.find("b.example", "/a/b/"), undefined);
  t.equal(table.findService("s")?.maxConnections, 1);
  t.end();
});

test("services are chosen by their weights", (t) => {
  const route = createRoute("r", "/");
  t.equal(chooseService(route, 0), "s");
  t.equal(chooseService(route, 0.89), "s");
  t.equal(chooseService(route, 0.9), "t");
  t.equal(chooseService(route, 0.999), "t");
  t.end();
});
