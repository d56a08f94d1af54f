/** A plain service in small: it counts what it ran. */

import { type Request, type ResponseToolkit, Server } from "@hapi/hapi";
import { sleep } from "@mallowlift/core";

/** One operation that the service carried out. */
export interface ServiceRun {
  readonly key: string;
  readonly operation: string;
  readonly payload: unknown;
  readonly at: number;
}

/** Faults that a test can switch on. */
export interface ServiceFaults {
  /** Time that each operation takes. */
  delayMilliseconds: number;
  /** Runs the operation, then closes the connection without an answer. */
  dropAnswers: boolean;
}

/** A fake service. */
export class FakeService {
  readonly runs: ServiceRun[] = [];
  readonly faults: ServiceFaults = { delayMilliseconds: 2, dropAnswers: false };
  readonly #server: Server;

  constructor(listen = { host: "127.0.0.1", port: 0 }) {
    this.#server = new Server({ ...listen, compression: false });
    this.#server.route([
      {
        method: "POST",
        path: "/v1/operations/{operation}",
        handler: (request, toolkit) => this.#run(request, toolkit),
      },
      {
        method: "GET",
        path: "/v1/journal",
        handler: () => ({ runs: this.runs }),
      },
      { method: "GET", path: "/healthz", handler: () => ({}) },
    ]);
  }

  /** HTTP address. */
  get url(): string {
    return this.#server.info.uri;
  }

  /** How often the operation of a call ran. */
  countRuns(key: string): number {
    return this.runs.filter((run) => run.key === key).length;
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    await this.#server.stop({ timeout: 0 });
  }

  async #run(request: Request, toolkit: ResponseToolkit) {
    const key = String(request.headers["idempotency-key"] ?? "");
    const operation = String(request.params.operation);
    await sleep(this.faults.delayMilliseconds / 2);
    this.runs.push({
      key,
      operation,
      payload: request.payload,
      at: Date.now(),
    });
    await sleep(this.faults.delayMilliseconds / 2);
    if (this.faults.dropAnswers) {
      request.raw.req.socket.destroy();
      return toolkit.abandon;
    }
    return { operation, recorded: this.runs.length };
  }
}
