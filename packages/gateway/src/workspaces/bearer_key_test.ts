import { test } from "tap";
import { readBearerKey } from "./bearer_key.ts";

test("a key is read whatever the letter case and spacing of its header", (t) => {
  t.equal(readBearerKey(["Host", "a", "Authorization", "Bearer k1"]), "k1");
  t.equal(readBearerKey(["AUTHORIZATION", "bearer k1"]), "k1");
  t.equal(readBearerKey(["authorization", "BEARER  k1"]), "k1");
  t.end();
});

test("headers without exactly one valid key yield none", (t) => {
  t.equal(readBearerKey([]), undefined);
  t.equal(readBearerKey(["Authorization", ""]), undefined);
  t.equal(readBearerKey(["Authorization", "Bearer"]), undefined);
  t.equal(readBearerKey(["Authorization", "Basic k1"]), undefined);
  t.equal(readBearerKey(["Authorization", "Bearer k1 k2"]), undefined);
  t.equal(readBearerKey(["X-Authorization", "Bearer k1"]), undefined);
  const twice = ["Authorization", "Bearer k1", "authorization", "Bearer k1"];
  t.equal(readBearerKey(twice), undefined);
  t.end();
});
