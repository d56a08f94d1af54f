/**
 * The load: hundreds of daemons, each of which tells a seed and a peer every two
 * seconds what it has heard of all others.
 */

import fc from "fast-check";
import { test } from "tap";
import { encodeFrame } from "@mallowlift/transport";
import { Directory, type SelfRecord } from "./directory.ts";

const SEED = 5;
const SIZES = [30, 100, 300, 390];
const INTERVAL_MILLISECONDS = 2_000;
/** What control may cost a daemon, bytes a second sent. */
const MOST_BYTES_A_SECOND = 9_000;

function createRecord(number: number, bootId = "boot"): SelfRecord {
  return {
    name: `gateway-hall-${number}`,
    bootId: `${bootId}-0123-4567-89ab-cdef-${number}`,
    address: `10.1.${number >> 8}.${number & 255}:7380`,
    roles: ["gateway"],
    failureDomain: "hall",
  };
}

function createSite(size: number): readonly Directory[] {
  return Array.from(
    { length: size },
    (_, number) => new Directory(createRecord(number)),
  );
}

/** One comparison as two daemons make it; returns the bytes sent each way. */
function compare(asker: Directory, asked: Directory, now: number) {
  const request = asker.summarize(now);
  const answer = asked.compare(request, now);
  asker.merge(answer.records, now);
  asker.refresh(answer.fresher, now);
  const records = asker.describeWanted(answer.wanted, now);
  asked.merge(records, now);
  const told = records.length > 0 ? count({ records }) : 0;
  return { asked: count(request) + told, answered: count(answer) };
}

function count(body: unknown): number {
  return encodeFrame({ type: "call", id: 1, name: "directory", body }).length;
}

/** All daemons compare with the first and with one that is drawn. */
function runRound(
  site: readonly Directory[],
  draw: (number: number) => number,
  now: number,
): number {
  let bytes = 0;
  for (const [number, asker] of site.entries()) {
    for (const other of [0, draw(number) % site.length]) {
      const asked = site[other];
      if (asked === undefined || asked === asker) continue;
      const sent = compare(asker, asked, now);
      bytes += sent.asked + sent.answered;
    }
  }
  return bytes;
}

function countKnown(directory: Directory): number {
  return directory.findByRole("gateway").length;
}

test("bytes a daemon stay below what control may cost, also at 390", (t) => {
  for (const size of SIZES) {
    const site = createSite(size);
    const draw = (number: number) => number * 7 + 3;
    for (let round = 0; round < 4; round++) {
      runRound(site, draw, round * INTERVAL_MILLISECONDS);
    }
    const bytes = runRound(site, draw, 4 * INTERVAL_MILLISECONDS);
    const each = bytes * 1_000 / INTERVAL_MILLISECONDS / size;
    t.comment(`${size} daemons: ${Math.round(each)} bytes a second each`);
    t.ok(each < MOST_BYTES_A_SECOND, `${size} daemons`);
  }
  t.end();
});

test("daemons that stay in touch know each other after a few rounds", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 40 }),
      fc.array(fc.nat(1_000), { minLength: 40, maxLength: 40 }),
      (size, drawn) => {
        const site = createSite(size);
        for (let round = 0; round < 3; round++) {
          runRound(site, (number) => drawn[number] ?? 0, round * 150);
        }
        return site.every((directory) => countKnown(directory) === size);
      },
    ),
    { seed: SEED },
  );
  t.end();
});

test("a daemon that starts again takes the place of its earlier life", (t) => {
  const site = [...createSite(20)];
  const draw = (number: number) => number + 1;
  for (let now = 0; now <= 4_000; now += 2_000) runRound(site, draw, now);
  site[5] = new Directory(createRecord(5, "again"));
  for (let now = 6_000; now <= 10_000; now += 2_000) runRound(site, draw, now);
  for (const directory of site) {
    t.match(directory.find("gateway-hall-5")?.bootId, "again");
  }
  t.end();
});

test("a daemon that is gone is forgotten by all, and stays so", (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(1_000), { minLength: 60, maxLength: 60 }), (
      drawn,
    ) => {
      const site = createSite(12);
      for (let now = 0; now <= 4_000; now += 500) {
        runRound(site, (number) => number + 1, now);
      }
      const left = site.slice(0, 11);
      let round = 0;
      for (let now = 4_500; now <= 20_500; now += 500) {
        const draw = (number: number) => drawn[(number + round) % 60] ?? 0;
        runRound(left, draw, now);
        for (const directory of left) directory.forget(now);
        round++;
      }
      return left.every((directory) => countKnown(directory) === 11);
    }),
    { seed: SEED, numRuns: 30 },
  );
  t.end();
});
