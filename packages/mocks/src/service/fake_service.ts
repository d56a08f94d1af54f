/** A fake service over HTTP, which records the operations it ran. */

import { type Request, type ResponseToolkit, Server } from "@hapi/hapi";
import { sleep } from "@mallowlift/core";

/** One operation that the service ran. */
export interface ServiceRun {
  /** Idempotency key of the call. */
  readonly key: string;
  readonly operation: string;
  readonly payload: unknown;
  /** Time of the run, ms since the epoch. */
  readonly at: number;
}

/** Faults that a test can enable at run time. */
export interface ServiceFaults {
  /** Duration of each operation, ms. */
  delayMilliseconds: number;
  /** Runs the operation and closes the connection without an answer. */
  dropAnswers: boolean;
}

/** A fake service that listens on HTTP. */
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

  /** Base URL. */
  get url(): string {
    return this.#server.info.uri;
  }

  /** Returns how often the operation with an idempotency key ran. */
  countRuns(key: string): number {
    return this.runs.filter((run) => run.key === key).length;
  }

  /** Starts the server. */
  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Stops without waiting for open requests. */
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
