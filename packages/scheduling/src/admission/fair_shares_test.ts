import { test } from "tap";
import { FairShares } from "./fair_shares.ts";

const SEEDS = [1, 2, 3, 4, 5];
/** Commands that the simulated leader commits in a second. */
const COMMANDS_PER_SECOND = 1_000;
/** Queueing delay at which the simulated leader refuses new work, ms. */
const MAX_WAIT_MILLISECONDS = 800;
const SECONDS = 10;
const REGULAR_WORKSPACES = Array.from(
  { length: 20 },
  (_, number) => `usual-${number}`,
);
const REGULAR_PER_SECOND = 40;
const FLOOD_PER_SECOND = 3_000;

/** Creates a reproducible sequence of pseudo-random numbers from 0 up to 1. */
function createSequence(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Returns the fraction of each workspace's commands that a leader admits. */
function simulateLeader(
  seed: number,
  tryAdmit: (workspace: string, pressure: number, now: number) => boolean,
): ReadonlyMap<string, number> {
  const random = createSequence(seed);
  const rates = new Map(
    REGULAR_WORKSPACES.map((name) => [name, REGULAR_PER_SECOND]),
  );
  rates.set("flooding", FLOOD_PER_SECOND);
  const submitted = new Map<string, number>();
  const admitted = new Map<string, number>();
  let waiting = 0;
  for (let now = 0; now < SECONDS * 1_000; now++) {
    waiting = Math.max(0, waiting - COMMANDS_PER_SECOND / 1_000);
    for (const [workspace, rate] of rates) {
      for (let rest = rate / 1_000; rest > 0; rest--) {
        if (random() >= rest) continue;
        submitted.set(workspace, (submitted.get(workspace) ?? 0) + 1);
        const pressure = waiting * 1_000 / COMMANDS_PER_SECOND /
          MAX_WAIT_MILLISECONDS;
        if (pressure > 1 || !tryAdmit(workspace, pressure, now)) continue;
        waiting++;
        admitted.set(workspace, (admitted.get(workspace) ?? 0) + 1);
      }
    }
  }
  return new Map([...submitted].map(([name, count]) => [
    name,
    (admitted.get(name) ?? 0) / count,
  ]));
}

// Guards against a workspace that floods the leader and starves all others.
test("a flood from one workspace does not starve the others", (t) => {
  for (const seed of SEEDS) {
    const shares = new FairShares();
    const fair = simulateLeader(
      seed,
      (workspace, pressure, now) =>
        shares.tryAdmit({ workspace, weight: 1 }, pressure, now),
    );
    const withoutShares = simulateLeader(seed, () => true);
    const findLowest = (fractions: ReadonlyMap<string, number>) =>
      Math.min(...REGULAR_WORKSPACES.map((name) => fractions.get(name) ?? 0));
    t.ok(findLowest(fair) > 0.9, `seed ${seed}: ${findLowest(fair)}`);
    t.ok(
      findLowest(withoutShares) < 0.5,
      `seed ${seed} without shares: ${findLowest(withoutShares)}`,
    );
    t.ok(
      (fair.get("flooding") ?? 0) > 0,
      "the flooding workspace gets the remaining capacity",
    );
  }
  t.end();
});

test("a single workspace is admitted, and a larger weight admits more", (t) => {
  const alone = new FairShares();
  const tryAdmit = (shares: FairShares, workspace: string, weight: number) =>
    shares.tryAdmit({ workspace, weight }, 0.9, 0);
  t.ok(tryAdmit(alone, "only", 1));
  t.ok(tryAdmit(alone, "only", 1));
  const shares = new FairShares();
  let large = 0;
  let small = 0;
  for (let round = 0; round < 100; round++) {
    if (tryAdmit(shares, "large", 9)) large++;
    if (tryAdmit(shares, "small", 1)) small++;
  }
  t.ok(large > 4 * small, `${large} and ${small}`);
  t.end();
});

test("no workspace is refused while the queue is empty", (t) => {
  const shares = new FairShares();
  for (let number = 0; number < 1_000; number++) {
    t.ok(shares.tryAdmit({ workspace: "only", weight: 1 }, 0, 0));
  }
  t.end();
});
