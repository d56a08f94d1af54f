/** A TCP proxy that injects network faults between real processes. */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { createDeferred, sleep } from "@mallowlift/core";
import { LinkPace } from "./link_pace.ts";

/** Faults that the proxy applies to its connections. */
export interface ProxyFaults {
  /** Delay of each chunk in each direction, ms. */
  delayMilliseconds: number;
  /** Drops all bytes from clients, and keeps the connections open. */
  dropToServer: boolean;
  /** Drops all bytes from servers, and keeps the connections open. */
  dropToClient: boolean;
  /** Closes new connections at once. */
  refuse: boolean;
  /** Throughput limit in each direction, bytes per second; 0 for no limit. */
  bytesPerSecond: number;
}

interface ConnectionPair {
  readonly client: Socket;
  readonly server: Socket;
  /** True if all bytes are dropped for good. */
  isSilent: boolean;
}

/** Address that a proxy connects to. */
export interface ProxyTarget {
  readonly host: string;
  readonly port: number;
}

/** Forwards connections from one port to one address, which can change. */
export class FaultProxy {
  readonly faults: ProxyFaults = {
    delayMilliseconds: 0,
    dropToServer: false,
    dropToClient: false,
    refuse: false,
    bytesPerSecond: 0,
  };
  #target: ProxyTarget | undefined;
  readonly #server: Server;
  readonly #pairs = new Set<ConnectionPair>();
  #bytesFromClients = 0;
  #acceptedConnections = 0;

  /** Creates a proxy, which refuses all connections until it has a target. */
  constructor(target?: ProxyTarget) {
    this.#target = target;
    this.#server = createServer((client) => this.#accept(client));
  }

  /** Port that clients connect to. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of bytes that clients have sent so far, dropped ones included. */
  get bytesFromClients(): number {
    return this.#bytesFromClients;
  }

  /** Address that clients connect to, in the form `host:port`. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Starts to listen; port 0 selects a free port. */
  async start(port = 0): Promise<void> {
    const ready = createDeferred<void>();
    this.#server.listen(port, "127.0.0.1", () => ready.resolve(undefined));
    await ready.promise;
  }

  /** Forwards new connections to another address; undefined refuses them. */
  retarget(target: ProxyTarget | undefined): void {
    this.#target = target;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    const closed = createDeferred<void>();
    this.#server.close(() => closed.resolve(undefined));
    this.reset();
    await closed.promise;
  }

  /** Closes all connections. */
  reset(): void {
    for (const pair of this.#pairs) {
      pair.client.destroy();
      pair.server.destroy();
    }
    this.#pairs.clear();
  }

  /** Drops all bytes in both directions, and keeps the connections open. */
  dropAll(): void {
    this.faults.dropToClient = true;
    this.faults.dropToServer = true;
  }

  /**
   * Drops all bytes of the connections that are open now, for good and without a
   * reset; new connections work.
   */
  silenceOpenConnections(): void {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  /** Number of connections that were accepted since the start. */
  get acceptedConnections(): number {
    return this.#acceptedConnections;
  }

  /** Ends all faults, and closes all connections if bytes may have been lost. */
  heal(): void {
    const mayHaveLostBytes = this.faults.dropToClient ||
      this.faults.dropToServer;
    this.faults.delayMilliseconds = 0;
    this.faults.dropToServer = false;
    this.faults.dropToClient = false;
    this.faults.refuse = false;
    this.faults.bytesPerSecond = 0;
    if (mayHaveLostBytes) this.reset();
  }

  #accept(client: Socket): void {
    if (this.faults.refuse || this.#target === undefined) {
      return void client.destroy();
    }
    const server = connect(this.#target);
    const pair: ConnectionPair = { client, server, isSilent: false };
    this.#pairs.add(pair);
    this.#acceptedConnections++;
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
    const { faults } = this;
    this.#pipe(client, server, () => pair.isSilent || faults.dropToServer);
    this.#pipe(server, client, () => pair.isSilent || faults.dropToClient);
  }

  #pipe(from: Socket, to: Socket, isDropping: () => boolean): void {
    const pace = new LinkPace();
    let previous = Promise.resolve();
    from.on("data", (bytes: Buffer) => {
      if (isDropping()) return;
      const { delayMilliseconds, bytesPerSecond } = this.faults;
      if (delayMilliseconds === 0 && bytesPerSecond === 0) {
        void previous.then(() => to.write(bytes));
        return;
      }
      const passAt = pace.findPassTime(
        { bytes: bytes.length, bytesPerSecond },
        performance.now() + delayMilliseconds,
      );
      // The chunks of a connection keep their order.
      previous = previous.then(async () => {
        const milliseconds = passAt - performance.now();
        if (milliseconds > 0) await sleep(milliseconds);
        to.write(bytes);
      });
    });
  }
}
