/** Reloads the settings that may change while the daemon runs. */

import { readFileSync } from "node:fs";
import {
  describeMistake,
  type Logger,
  parseSettings,
  type Settings,
} from "@mallowlift/core";

/** Time between two checks of the file, ms: it may change without a signal. */
const RELOAD_INTERVAL_MILLISECONDS = 1_000;

/** Reloads the settings file when it has changed; only the seeds are updated. */
export class LiveSettings {
  readonly #path: string;
  readonly #logger: Logger;
  #text: string;
  #seeds: readonly string[];
  #timer: NodeJS.Timeout | undefined;

  constructor(path: string, settings: Settings, logger: Logger) {
    this.#path = path;
    this.#logger = logger;
    this.#text = this.#read();
    this.#seeds = findSeeds(settings);
  }

  /** Addresses of the seeds through which other daemons are found. */
  get seeds(): readonly string[] {
    return this.#seeds;
  }

  /** Starts checking the file for changes. */
  watch(): void {
    this.#timer = setInterval(
      () => this.reload(),
      RELOAD_INTERVAL_MILLISECONDS,
    );
    this.#timer.unref();
  }

  /** Reads the file now; an invalid file is logged and changes nothing. */
  reload(): void {
    const text = this.#read();
    if (text === this.#text || text === "") return;
    this.#text = text;
    const parsed = parseSettings(text);
    if (parsed.err) {
      for (const mistake of parsed.val) {
        this.#logger.warn("Settings refused", {
          mistake: describeMistake(mistake),
        });
      }
      return;
    }
    this.#seeds = findSeeds(parsed.val);
    this.#logger.info("Settings reloaded", { seeds: this.#seeds.join(",") });
  }

  #read(): string {
    try {
      return readFileSync(this.#path, "utf8");
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      this.#logger.warn("Settings not readable", { message });
      return "";
    }
  }
}

/** Returns the seeds; a seed port in the settings replaces the port of each. */
function findSeeds(settings: Settings): readonly string[] {
  const { seeds, seedPort } = settings.network;
  if (seedPort === 0) return seeds;
  return seeds.map((seed) =>
    `${seed.slice(0, seed.lastIndexOf(":"))}:${seedPort}`
  );
}
