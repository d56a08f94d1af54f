/** `npm run bench:quotas`: simulates each quota strategy on the same workloads. */

import process from "node:process";
import {
  FixedShares,
  LeaderPermits,
  type QuotaStrategy,
  type SimulatedSite,
} from "./quota_strategies.ts";
import { simulateQuotas } from "./simulate_quotas.ts";

const GATEWAYS = [22, 300];
const SEEDS = [1, 2, 3];
const STRATEGIES: readonly ((site: SimulatedSite) => QuotaStrategy)[] = [
  (site) => new FixedShares(site),
  LeaderPermits.batched,
  LeaderPermits.leased,
];

async function run(): Promise<void> {
  for (const gateways of GATEWAYS) {
    for (const seed of SEEDS) {
      for (const createStrategy of STRATEGIES) {
        const result = await simulateQuotas({
          seed,
          gateways,
          createStrategy,
        });
        console.log(JSON.stringify({ seed, ...result }));
      }
    }
  }
}

run().catch((thrown: unknown) => {
  console.error(thrown);
  process.exitCode = 1;
});
