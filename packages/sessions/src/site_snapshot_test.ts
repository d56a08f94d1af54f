import { Buffer } from "node:buffer";
import { encode } from "cbor-x";
import { test } from "tap";
import {
  decodeSiteSnapshot,
  encodeSiteSnapshot,
  type StoredSite,
} from "./site_snapshot.ts";

/** Far above the size of a batch, far below the size of 5,000 turns. */
const MAX_PART_BYTES = 65_536;

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

test("a snapshot is decoded as it was encoded, and copies no content", (t) => {
  const parts = [...encodeSiteSnapshot(SITE)];
  for (const turn of SITE.turns) {
    t.ok(parts.includes(turn.input));
    t.ok(parts.includes(turn.output));
  }
  t.same(decodeSiteSnapshot(Buffer.concat(parts)), SITE);
  t.end();
});

/*
 * Guards against a snapshot that blocks the leader's event loop for longer than
 * the election timeout: a leader that encoded the heads of 26,000 turns at once,
 * 300 ms of a full core, on less than half of a core took 1,054 ms for it. It
 * received nothing from any of its eleven members for 600 ms, lost its
 * leadership, and all turns of that second were refused.
 */
test("all parts of a large snapshot are small", (t) => {
  const turns = Array.from({ length: 5_000 }, (_, number) => ({
    ...SITE.turns[0],
    turnId: `turn-${number}`,
    previousId: "",
    input: Buffer.alloc(1),
    output: Buffer.alloc(1),
    upstream: "u",
    expiresAt: number,
  }));
  const budgets = Array.from({ length: 1_000 }, (_, number) => ({
    programId: `program-${number}`,
    spent: number,
    reserved: [["open", 1] as const],
    settled: ["a", "b", "c"],
    usedAt: 1,
  }));
  const site = { ...SITE, turns, budgets };
  const parts = [...encodeSiteSnapshot(site)];
  const largest = Math.max(...parts.map((part) => part.length));
  t.ok(largest <= MAX_PART_BYTES, `the largest has ${largest} bytes`);
  t.same(decodeSiteSnapshot(Buffer.concat(parts)), site);
  t.end();
});

test("a snapshot with all turns in its head is decoded", (t) => {
  const { turns, ...rest } = SITE;
  const heads = turns.map(({ input, output, ...turn }) => ({
    ...turn,
    inputBytes: input.length,
    outputBytes: output.length,
  }));
  const head = encode({ ...rest, turns: heads });
  const length = Buffer.alloc(4);
  length.writeUInt32BE(head.length);
  const contents = turns.flatMap((turn) => [turn.input, turn.output]);
  t.same(decodeSiteSnapshot(Buffer.concat([length, head, ...contents])), SITE);
  t.end();
});

test("a snapshot of the first release is decoded", (t) => {
  t.same(decodeSiteSnapshot(encode(SITE)), SITE);
  t.end();
});
