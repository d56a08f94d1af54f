import {
  hashText,
  RESULT_CODES,
  type Route,
  type RoutingDocument,
  type Workspace,
} from "@mallowlift/core";
import { test } from "tap";
import { RouteTable } from "../routing/route_table.ts";
import { type AdmissionRequest, KeyAdmission } from "./key_admission.ts";

const REVOCATION_MILLISECONDS = 1_000;
const NORTH: Workspace = {
  name: "north",
  keyDigests: [hashText("key-1"), hashText("key-2")],
  ratePerSecond: 0,
  burst: 0,
};

function createRoute(pathPrefix: string, isPublic: boolean): Route {
  return {
    name: pathPrefix,
    host: "a.example",
    pathPrefix,
    kind: "idempotent",
    targets: [],
    timeoutMilliseconds: 1_000,
    targetMilliseconds: 100,
    priority: 0,
    maxAttempts: 2,
    keepsHistory: false,
    retentionMilliseconds: 0,
    prefersSameUpstream: false,
    isPublic,
  };
}

function createTable(
  version: number,
  workspaces: readonly Workspace[],
): RouteTable {
  const document: RoutingDocument = {
    version,
    routes: [createRoute("/closed/", false), createRoute("/open/", true)],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    workspaces,
  };
  return new RouteTable(document);
}

/** Creates an admission and the state that it reads, which tests change. */
function createSite() {
  const site = {
    table: createTable(1, [NORTH]),
    isNewest: true,
    confirmationAge: 0,
    /** Called while the admission waits for an update. */
    onWait: () => undefined as void,
  };
  const admission = new KeyAdmission({
    getRoutes: () => site.table,
    isNewest: () => site.isNewest,
    findConfirmationAgeMilliseconds: () => site.confirmationAge,
    waitForUpdate: () => {
      site.onWait();
      return new Promise((resolve) => setTimeout(resolve, 1));
    },
    waitMilliseconds: 20,
    revocationMilliseconds: REVOCATION_MILLISECONDS,
  });
  return { site, admission };
}

function createRequest(path: string, key?: string): AdmissionRequest {
  const headers = key === undefined ? [] : ["Authorization", `Bearer ${key}`];
  return { host: "a.example", path, headers };
}

function evaluate(admission: KeyAdmission, request: AdmissionRequest): string {
  const decision = admission.evaluate(request, 0);
  return decision.ok
    ? decision.val.workspace?.name ?? "nobody"
    : decision.val.code.name;
}

test("a key identifies its workspace, and unknown keys are refused", (t) => {
  const { admission } = createSite();
  t.equal(evaluate(admission, createRequest("/closed/x", "key-1")), "north");
  t.equal(evaluate(admission, createRequest("/closed/x", "key-2")), "north");
  t.equal(
    evaluate(admission, createRequest("/closed/x", "key-3")),
    "NOT_AUTHENTICATED",
  );
  t.equal(evaluate(admission, createRequest("/closed/x")), "NOT_AUTHENTICATED");
  t.equal(
    evaluate(admission, createRequest("/closed/x", "")),
    "NOT_AUTHENTICATED",
  );
  t.equal(
    evaluate(admission, createRequest("/none/x", "key-1")),
    "ROUTE_NOT_FOUND",
  );
  t.equal(evaluate(admission, createRequest("/open/x")), "nobody");
  t.equal(evaluate(admission, createRequest("/open/x", "key-1")), "north");
  t.end();
});

test("no key is needed on a site without workspaces", (t) => {
  const { site, admission } = createSite();
  site.table = createTable(1, []);
  site.confirmationAge = Infinity;
  t.equal(evaluate(admission, createRequest("/closed/x", "key-9")), "nobody");
  t.ok(admission.areKeysAccepted(0));
  t.end();
});

// Guards against a 401 for a key of a document that the gateway has not received.
test("an unknown key is refused as such only if the document is the newest", async (t) => {
  const { site, admission } = createSite();
  site.isNewest = false;
  t.equal(
    evaluate(admission, createRequest("/closed/x", "key-3")),
    "CONFIGURATION_STALE",
  );
  site.onWait = () => {
    const added = { ...NORTH, keyDigests: [hashText("key-3")] };
    site.table = createTable(2, [added]);
  };
  const admitted = await admission.admit(createRequest("/closed/x", "key-3"));
  t.equal(admitted.unwrap().workspace?.name, "north");
});

// Guards against a partitioned gateway that continues to accept revoked keys.
test("a key is refused if the last confirmation is too old", async (t) => {
  const { site, admission } = createSite();
  site.confirmationAge = REVOCATION_MILLISECONDS;
  const request = createRequest("/closed/x", "key-1");
  t.equal(evaluate(admission, request), "CONFIGURATION_STALE");
  t.equal(evaluate(admission, createRequest("/open/x")), "nobody");
  t.notOk(admission.areKeysAccepted(0), "the gateway is not ready");
  const refused = await admission.admit(request);
  t.ok(refused.err && (refused.val.retryAfterMilliseconds ?? 0) > 0);
  site.onWait = () => {
    site.confirmationAge = 10;
  };
  t.ok((await admission.admit(request)).ok, "one confirmation is enough");
});

// Guards against a process that is suspended between admission and sending.
test("an admitted request is checked again before it is sent", async (t) => {
  const { site, admission } = createSite();
  const admitted = admission.evaluate(createRequest("/closed/x", "key-1"), 0)
    .unwrap();
  t.ok(admission.isValid(admitted, 0));
  site.confirmationAge = REVOCATION_MILLISECONDS;
  t.notOk(admission.isValid(admitted, 0));
  const late = await admission.confirm(admitted);
  t.equal(late.err && late.val.code, RESULT_CODES.CONFIGURATION_STALE);
  site.onWait = () => {
    site.confirmationAge = 0;
  };
  t.ok((await admission.confirm(admitted)).ok);
  site.table = createTable(2, [{ ...NORTH, keyDigests: [] }]);
  t.notOk(admission.isValid(admitted, 0), "the key was revoked");
  const revoked = await admission.confirm(admitted);
  t.equal(revoked.err && revoked.val.code, RESULT_CODES.NOT_AUTHENTICATED);
});
