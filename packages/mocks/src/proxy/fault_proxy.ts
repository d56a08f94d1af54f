/** A TCP proxy that injects faults between real processes. */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Buffer } from "node:buffer";
import { createDeferred, sleep } from "@mallowlift/core";

/** What the proxy does to the connections through it. */
export interface ProxyFaults {
  /** Time that each piece is held back, each way. */
  delayMilliseconds: number;
  /** Drops what clients send; the connection stays open. */
  silentToServer: boolean;
  /** Drops what servers send; the connection stays open. */
  silentToClient: boolean;
  /** Refuses new connections. */
  refuse: boolean;
  /** Bytes a second each way; 0 for no limit. */
  bytesPerSecond: number;
}

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
}

/** Where a proxy connects to. */
export interface ProxyTarget {
  readonly host: string;
  readonly port: number;
}

/** Forwards one port to one address, which may change. */
export class FaultProxy {
  readonly faults: ProxyFaults = {
    delayMilliseconds: 0,
    silentToServer: false,
    silentToClient: false,
    refuse: false,
    bytesPerSecond: 0,
  };
  #target: ProxyTarget | undefined;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #bytesFromClients = 0;

  /** A proxy without a target yet refuses every connection. */
  constructor(target?: ProxyTarget) {
    this.#target = target;
    this.#server = createServer((client) => this.#accept(client));
  }

  /** Port that clients connect to. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Bytes that clients have sent so far. */
  get bytesFromClients(): number {
    return this.#bytesFromClients;
  }

  /** Address that clients connect to. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Starts to listen. */
  async start(port = 0): Promise<void> {
    const ready = createDeferred<void>();
    this.#server.listen(port, "127.0.0.1", () => ready.resolve(undefined));
    await ready.promise;
  }

  /** Sends new connections to another address; undefined refuses them. */
  retarget(target: ProxyTarget | undefined): void {
    this.#target = target;
  }

  /** Stops and breaks all connections. */
  async stop(): Promise<void> {
    const closed = createDeferred<void>();
    this.#server.close(() => closed.resolve(undefined));
    this.reset();
    await closed.promise;
  }

  /** Breaks all connections. */
  reset(): void {
    for (const pair of this.#pairs) {
      pair.client.destroy();
      pair.server.destroy();
    }
    this.#pairs.clear();
  }

  /** Cuts both ways in silence. */
  cut(): void {
    this.faults.silentToClient = true;
    this.faults.silentToServer = true;
  }

  /** Ends all faults; connections that lost bytes are broken. */
  heal(): void {
    const lostBytes = this.faults.silentToClient || this.faults.silentToServer;
    this.faults.delayMilliseconds = 0;
    this.faults.silentToServer = false;
    this.faults.silentToClient = false;
    this.faults.refuse = false;
    this.faults.bytesPerSecond = 0;
    if (lostBytes) this.reset();
  }

  #accept(client: Socket): void {
    if (this.faults.refuse || this.#target === undefined) {
      return void client.destroy();
    }
    const server = connect(this.#target);
    const pair: Pair = { client, server };
    this.#pairs.add(pair);
    const close = () => {
      this.#pairs.delete(pair);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on("error", close);
      socket.on("close", close);
    }
    client.on(
      "data",
      (bytes: Buffer) => this.#bytesFromClients += bytes.length,
    );
    this.#pipe(client, server, () => this.faults.silentToServer);
    this.#pipe(server, client, () => this.faults.silentToClient);
  }

  #pipe(from: Socket, to: Socket, isSilent: () => boolean): void {
    let previous = Promise.resolve();
    from.on("data", (bytes: Buffer) => {
      if (isSilent()) return;
      const { delayMilliseconds, bytesPerSecond } = this.faults;
      if (delayMilliseconds === 0 && bytesPerSecond === 0) {
        void previous.then(() => to.write(bytes));
        return;
      }
      const arrival = sleep(delayMilliseconds);
      // Bytes of one connection keep their order, and the next piece can only
      // be sent once a slow way has taken this one.
      previous = previous.then(async () => {
        await arrival;
        if (bytesPerSecond > 0) {
          await sleep((bytes.length / bytesPerSecond) * 1_000);
        }
        to.write(bytes);
      });
    });
  }
}
