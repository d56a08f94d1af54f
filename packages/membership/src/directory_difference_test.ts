/**
 * Tests directory comparisons among hundreds of daemons, each of which compares
 * its directory with those of a seed and a peer every two seconds.
 */

import fc from "fast-check";
import { test } from "tap";
import { encodeFrame } from "@mallowlift/transport";
import { type DaemonInfo, Directory } from "./directory.ts";

const SEED = 5;
const SIZES = [30, 100, 300, 390];
const INTERVAL_MILLISECONDS = 2_000;
/** Limit on directory traffic per daemon, bytes sent per second. */
const MAX_BYTES_PER_SECOND = 9_000;

function createRecord(number: number, bootId = "boot"): DaemonInfo {
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

/** Runs one comparison between two daemons; returns the bytes sent each way. */
function compare(sender: Directory, receiver: Directory, now: number) {
  const request = sender.summarize(now);
  const answer = receiver.compare(request, now);
  sender.merge(answer.records, now);
  sender.refreshAges(answer.fresher, now);
  const records = sender.describeRequested(answer.wanted, now);
  receiver.merge(records, now);
  const recordBytes = records.length > 0 ? countFrameBytes({ records }) : 0;
  return {
    asked: countFrameBytes(request) + recordBytes,
    answered: countFrameBytes(answer),
  };
}

function countFrameBytes(body: unknown): number {
  return encodeFrame({ type: "call", id: 1, name: "directory", body }).length;
}

/** Each daemon compares with the first one and one chosen by `draw`; returns the bytes sent. */
function runRound(
  site: readonly Directory[],
  draw: (number: number) => number,
  now: number,
): number {
  let bytes = 0;
  for (const [number, sender] of site.entries()) {
    for (const other of [0, draw(number) % site.length]) {
      const receiver = site[other];
      if (receiver === undefined || receiver === sender) continue;
      const sent = compare(sender, receiver, now);
      bytes += sent.asked + sent.answered;
    }
  }
  return bytes;
}

function countKnown(directory: Directory): number {
  return directory.findByRole("gateway").length;
}

test("directory traffic per daemon stays below the limit, even with 390 daemons", (t) => {
  for (const size of SIZES) {
    const site = createSite(size);
    const draw = (number: number) => number * 7 + 3;
    for (let round = 0; round < 4; round++) {
      runRound(site, draw, round * INTERVAL_MILLISECONDS);
    }
    const bytes = runRound(site, draw, 4 * INTERVAL_MILLISECONDS);
    const each = bytes * 1_000 / INTERVAL_MILLISECONDS / size;
    t.comment(`${size} daemons: ${Math.round(each)} bytes a second each`);
    t.ok(each < MAX_BYTES_PER_SECOND, `${size} daemons`);
  }
  t.end();
});

test("all daemons know each other after a few rounds", (t) => {
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

test("a restarted daemon replaces the record of its earlier process", (t) => {
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

test("a daemon that has left is dropped by all others and does not reappear", (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(1_000), { minLength: 60, maxLength: 60 }), (
      drawn,
    ) => {
      const site = createSite(12);
      for (let now = 0; now <= 4_000; now += 500) {
        runRound(site, (number) => number + 1, now);
      }
      const remaining = site.slice(0, 11);
      let round = 0;
      for (let now = 4_500; now <= 20_500; now += 500) {
        const draw = (number: number) => drawn[(number + round) % 60] ?? 0;
        runRound(remaining, draw, now);
        for (const directory of remaining) directory.removeExpired(now);
        round++;
      }
      return remaining.every((directory) => countKnown(directory) === 11);
    }),
    { seed: SEED, numRuns: 30 },
  );
  t.end();
});
