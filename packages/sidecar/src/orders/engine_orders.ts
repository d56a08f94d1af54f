/** Orders to an engine over HTTP. */

import { HttpClient } from "../upstream/http_client.ts";

const ORDER_MILLISECONDS = 1_000;

/** What an engine is, as far as orders change it. */
export interface EngineState {
  readonly models: readonly string[];
  readonly role: string;
}

/** One order. */
export interface EngineOrder {
  readonly action: "load" | "unload" | "set_role";
  readonly target: string;
}

/** Sends orders and reads what they did. */
export interface EngineOrders {
  readState(): Promise<EngineState>;
  send(order: EngineOrder, fencingNumber: number): Promise<void>;
}

/** Orders over the engine's HTTP interface. */
export class HttpEngineOrders implements EngineOrders {
  readonly #http: HttpClient;

  constructor(url: string) {
    this.#http = new HttpClient(url);
  }

  /** Reads the engine's state. */
  async readState(): Promise<EngineState> {
    const answer = await this.#http.send({
      method: "GET",
      path: "/v1/state",
      timeoutMilliseconds: ORDER_MILLISECONDS,
    });
    return JSON.parse(answer.body) as EngineState;
  }

  /** Sends an order with its fencing number. */
  async send(order: EngineOrder, fencingNumber: number): Promise<void> {
    await this.#http.send({
      method: "POST",
      path: "/v1/orders",
      payload: JSON.stringify({ ...order, fencing_number: fencingNumber }),
      timeoutMilliseconds: ORDER_MILLISECONDS,
    });
  }
}
