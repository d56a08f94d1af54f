/** Keeps what happened to each process of the gateways of a soak. */

import { readFileSync } from "node:fs";
import { loadSettings } from "@mallowlift/core";
import { readOptionsWithoutHeap } from "../gateways/deployed_options.ts";
import type { GatewaySite, SiteDaemon } from "../gateways/gateway_site.ts";

const BYTES_PER_MEGABYTE = 1_048_576;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** Limit of the JavaScript heap in the options of the deployment, MB. */
const HEAP_MEGABYTES = 110;
/**
 * Memory of a process besides the heap and what its settings bound, MB: code,
 * stacks, and the buffers of its connections.
 */
const BASE_MEGABYTES = 50;

/** Options of Node.js with which a deployment starts its gateways. */
export const DEPLOYED_NODE_OPTIONS: readonly string[] = [
  `--max-old-space-size=${HEAP_MEGABYTES}`,
  ...readOptionsWithoutHeap("gateway"),
];

/** One process of a gateway, from its start to its end. */
export interface GatewayLife {
  readonly name: string;
  readonly pid: number;
  /** True if it was killed, so that its open requests may be lost. */
  isKilled: boolean;
  /** True once it was told to stop. */
  isStopping: boolean;
  /** Largest memory that was seen, MB. */
  peakMegabytes: number;
}

/** The processes of all gateways of a site. */
export class GatewayLives {
  readonly #current = new Map<string, GatewayLife>();
  readonly #all: GatewayLife[] = [];

  constructor(site: GatewaySite) {
    for (const gateway of site.gateways) this.begin(gateway);
  }

  /** All processes, also those that have ended. */
  get all(): readonly GatewayLife[] {
    return this.#all;
  }

  /** Records that a gateway has been started. */
  begin(gateway: SiteDaemon): void {
    const { pid } = gateway.process;
    if (pid === undefined) throw new Error(`${gateway.name} has no process`);
    const life = {
      name: gateway.name,
      pid,
      isKilled: false,
      isStopping: false,
      peakMegabytes: 0,
    };
    this.#current.set(gateway.name, life);
    this.#all.push(life);
  }

  /** The last process of a gateway. */
  find(gateway: SiteDaemon): GatewayLife {
    const life = this.#current.get(gateway.name);
    if (life === undefined) throw new Error(`${gateway.name} was not started`);
    return life;
  }

  /** Reads the peak memory of the processes that run. */
  measure(): void {
    for (const life of this.#current.values()) {
      life.peakMegabytes = readPeakMegabytes(life.pid) ?? life.peakMegabytes;
    }
  }
}

/** Largest memory that a process has had, MB; undefined if it has ended. */
function readPeakMegabytes(pid: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = /VmHWM:\s+(\d+) kB/.exec(status)?.[1];
    if (kilobytes === undefined) return undefined;
    return Number(kilobytes) / KILOBYTES_PER_MEGABYTE;
  } catch {
    // The process has ended since it was last seen.
    return undefined;
  }
}

/**
 * Memory that the settings of a gateway allow it, MB: all limits on bytes of
 * the whole process, the heap, and a fixed base.
 */
export function findMemoryBound(settingsPath: string): number {
  const { gateway } = loadSettings(settingsPath).unwrap();
  let bytes = 0;
  for (const [key, value] of Object.entries(gateway)) {
    const isTotal = key.endsWith("TotalBytes") || key === "historyBytes";
    if (isTotal) bytes += Number(value);
  }
  return HEAP_MEGABYTES + BASE_MEGABYTES + bytes / BYTES_PER_MEGABYTE;
}
