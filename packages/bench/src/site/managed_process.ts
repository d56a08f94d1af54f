/** One process of a site, started and ended by its id. */

import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import process from "node:process";
import { createDeferred, type Deferred } from "@mallowlift/core";

/** How to start a process. */
export interface ProcessPlan {
  readonly name: string;
  readonly script: string;
  readonly scriptArguments: readonly string[];
  readonly logPath: string;
}

const RUNNING = new Set<ChildProcess>();
let isWatchingExit = false;

/** Ends what this process has started, whichever way it ends itself. */
function endWithThisProcess(child: ChildProcess): void {
  RUNNING.add(child);
  child.once("exit", () => RUNNING.delete(child));
  if (isWatchingExit) return;
  isWatchingExit = true;
  process.on("exit", () => {
    for (const running of RUNNING) running.kill("SIGKILL");
  });
}

/** A process that can be started again after it has ended. */
export class ManagedProcess {
  readonly plan: ProcessPlan;
  #child: ChildProcess | undefined;
  #exited: Deferred<number> = createDeferred<number>();

  constructor(plan: ProcessPlan) {
    this.plan = plan;
  }

  /** Process id; undefined if it does not run. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** True while the process runs. */
  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** Starts the process. */
  start(): void {
    const log = openSync(this.plan.logPath, "a");
    const nodeArguments = listProfileArguments();
    const child = spawn(process.execPath, [
      ...nodeArguments,
      this.plan.script,
      ...this.plan.scriptArguments,
    ], {
      stdio: ["ignore", log, log],
      // Ctrl-C reaches the starter alone, which stops its processes in order.
      detached: true,
    });
    closeSync(log);
    const exited = createDeferred<number>();
    endWithThisProcess(child);
    this.#child = child;
    this.#exited = exited;
    child.once("exit", (code) => exited.resolve(code ?? -1));
    child.once("error", () => exited.resolve(-1));
  }

  /** Sends a signal to this very process. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child?.kill(signal);
  }

  /** Resolves with the exit code; -1 after a signal. */
  async waitForExit(): Promise<number> {
    if (this.#child === undefined) return 0;
    return await this.#exited.promise;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    if (!this.isRunning) return;
    this.signal("SIGKILL");
    await this.waitForExit();
  }

  /** Asks the process to stop and waits for it. */
  async stop(): Promise<number> {
    if (!this.isRunning) return 0;
    this.signal("SIGCONT");
    this.signal("SIGTERM");
    return await this.waitForExit();
  }
}

/** With SITE_PROFILE_FOLDER set, each process leaves a profile there. */
function listProfileArguments(): readonly string[] {
  const folder = process.env.SITE_PROFILE_FOLDER;
  if (folder === undefined) return [];
  return ["--cpu-prof", `--cpu-prof-dir=${folder}`];
}
