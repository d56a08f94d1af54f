import { Buffer } from "node:buffer";
import { encode } from "cbor-x";
import { test } from "tap";
import {
  decodeSiteSnapshot,
  encodeSiteSnapshot,
  type StoredSite,
} from "./site_snapshot.ts";

const SITE: StoredSite = {
  document: undefined,
  turns: ["a", "b"].map((turnId) => ({
    turnId,
    previousId: "",
    input: Buffer.from(`in-${turnId}`),
    output: Buffer.from(turnId === "a" ? "" : "out"),
    upstream: "u",
    expiresAt: 7,
  })),
  budgets: [],
  retiring: [["store-1", "i-1"]],
  time: 5,
};

test("a snapshot is read as it was written, and copies no content", (t) => {
  const parts = encodeSiteSnapshot(SITE);
  for (const turn of SITE.turns) {
    t.ok(parts.includes(turn.input));
    t.ok(parts.includes(turn.output));
  }
  t.same(decodeSiteSnapshot(Buffer.concat(parts)), SITE);
  t.end();
});

test("a snapshot of the first release is read", (t) => {
  t.same(decodeSiteSnapshot(encode(SITE)), SITE);
  t.end();
});
