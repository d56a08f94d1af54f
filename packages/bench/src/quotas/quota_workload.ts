/** Generates the requests of many workspaces to the gateways of a simulated site. */

import { Random } from "../soak/random.ts";

/** Number of workspaces of the site. */
export const WORKSPACES = 76;
/** Total requests a second of all workspaces. */
const REQUESTS_PER_SECOND = 1_000;
/** Exponent of the sizes: the n-th workspace has a share proportional to 1/n to this power. */
const SIZE_POWER = 0.9;
/** Quota of a workspace divided by its usual request rate. */
const QUOTA_FACTOR = 1.6;
/** Number of callers of each workspace; each uses one gateway at a time. */
const CALLERS_PER_WORKSPACE = 2;
/** Factor on the request rate of every workspace during the burst. */
const BURST_FACTOR = 2;
/** Factor on the request rate of the flooding workspace during the flood. */
const FLOOD_FACTOR = 6;
/** Index of the flooding workspace, which is one of the largest. */
const FLOODING_WORKSPACE = 1;
const STEP_MILLISECONDS = 10;
/** Number of distinct random values between 0 and 1. */
const RANDOM_RESOLUTION = 1_000_000;

/** Start and end times of the events of a simulation, ms. */
export const TIMELINE = {
  /** Half of the callers move to a gateway drawn at random. */
  shiftAt: 8_000,
  burstAt: 12_000,
  burstUntil: 16_000,
  floodAt: 18_000,
  floodUntil: 24_000,
  /** A third of the gateways cannot reach the leader. */
  partitionAt: 26_000,
  partitionUntil: 30_000,
  /** There is no leader. */
  leaderlessAt: 32_000,
  leaderlessUntil: 34_000,
  endsAt: 40_000,
} as const;

/** Request rate and quota of one workspace. */
export interface WorkloadWorkspace {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** A request that arrives at a gateway. */
export interface Arrival {
  readonly at: number;
  readonly workspace: WorkloadWorkspace;
  readonly gateway: number;
}

/** Creates the workspaces, largest first. */
export function createWorkspaces(): readonly WorkloadWorkspace[] {
  const shares = Array.from(
    { length: WORKSPACES },
    (_, number) => 1 / (number + 1) ** SIZE_POWER,
  );
  const sum = shares.reduce((total, share) => total + share, 0);
  return shares.map((share, number) => {
    const requestsPerSecond = REQUESTS_PER_SECOND * share / sum;
    const rate = Math.ceil(QUOTA_FACTOR * requestsPerSecond);
    return {
      name: `w-${number}`,
      requestsPerSecond,
      ratePerSecond: rate,
      burst: rate,
    };
  });
}

/** Generates the requests of a simulation, sorted by time. */
export function createArrivals(
  workspaces: readonly WorkloadWorkspace[],
  options: { readonly seed: number; readonly gateways: number },
): readonly Arrival[] {
  const random = new Random(options.seed);
  const { gateways } = options;
  const homes = workspaces.map(() => chooseHomeGateways(random, gateways));
  const arrivals: Arrival[] = [];
  let hasShifted = false;
  for (let at = 0; at < TIMELINE.endsAt; at += STEP_MILLISECONDS) {
    if (at >= TIMELINE.shiftAt && !hasShifted) {
      hasShifted = true;
      for (const callers of homes) callers[0] = random.between(0, gateways - 1);
    }
    for (const [number, workspace] of workspaces.entries()) {
      const expected = workspace.requestsPerSecond *
        findRateFactor(number, at) *
        STEP_MILLISECONDS / 1_000;
      const count = drawCount(random, expected);
      for (let request = 0; request < count; request++) {
        const gateway = random.choose(homes[number] ?? [0]);
        const offset = random.between(0, STEP_MILLISECONDS - 1);
        arrivals.push({ at: at + offset, workspace, gateway });
      }
    }
  }
  return arrivals.toSorted((left, right) => left.at - right.at);
}

/** Chooses the gateway of each caller of one workspace. */
function chooseHomeGateways(random: Random, gateways: number): number[] {
  return Array.from(
    { length: CALLERS_PER_WORKSPACE },
    () => random.between(0, gateways - 1),
  );
}

function findRateFactor(workspace: number, at: number): number {
  const isBurst = at >= TIMELINE.burstAt && at < TIMELINE.burstUntil;
  const isFlood = at >= TIMELINE.floodAt && at < TIMELINE.floodUntil;
  if (isFlood && workspace === FLOODING_WORKSPACE) return FLOOD_FACTOR;
  return isBurst ? BURST_FACTOR : 1;
}

/**
 * Returns a random count with the given mean: its integer part, plus one with
 * the probability of its fraction.
 */
function drawCount(random: Random, expected: number): number {
  const whole = Math.floor(expected);
  const randomShare = random.between(0, RANDOM_RESOLUTION - 1) /
    RANDOM_RESOLUTION;
  return whole + (randomShare < expected - whole ? 1 : 0);
}
