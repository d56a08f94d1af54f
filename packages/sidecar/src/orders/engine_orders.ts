/** Client for orders to an engine. */

import { HttpClient } from "../upstream/http_client.ts";

const REQUEST_TIMEOUT_MILLISECONDS = 1_000;

/** State of an engine that orders can change. */
export interface EngineState {
  readonly models: readonly string[];
  readonly role: string;
}

/** An order that loads or unloads a model or sets the engine's role. */
export interface EngineOrder {
  readonly action: "load" | "unload" | "set_role";
  readonly target: string;
}

/** Reads an engine's state and sends it orders. */
export interface EngineOrderClient {
  readState(): Promise<EngineState>;
  send(order: EngineOrder, fencingNumber: number): Promise<void>;
}

/** Uses the engine's HTTP interface. */
export class HttpEngineOrderClient implements EngineOrderClient {
  readonly #http: HttpClient;

  constructor(url: string) {
    this.#http = new HttpClient(url);
  }

  /** Returns the loaded models and the role. */
  async readState(): Promise<EngineState> {
    const response = await this.#http.send({
      method: "GET",
      path: "/v1/state",
      timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
    });
    return JSON.parse(response.body) as EngineState;
  }

  /** Sends an order with the fencing number of the sender's lease. */
  async send(order: EngineOrder, fencingNumber: number): Promise<void> {
    await this.#http.send({
      method: "POST",
      path: "/v1/orders",
      payload: JSON.stringify({ ...order, fencing_number: fencingNumber }),
      timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
    });
  }
}
