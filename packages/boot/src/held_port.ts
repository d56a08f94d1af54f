/** Accepts connections on a port before the HTTP server is ready. */

import type { Server } from "node:http";
import { createServer, type Socket } from "node:net";

/** Host and number of a port to open. */
export interface PortAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Holds accepted connections until a server takes them over. A daemon opens it
 * first, so that callers wait during the start and are not refused: a refused
 * connection costs a caller one of its few attempts.
 *
 * @example
 * ```ts
 * const held = await HeldPort.open({ host: "127.0.0.1", port: 8080 });
 * await held.handOver(createServer(handler));
 * ```
 */
export class HeldPort {
  // Nothing is read yet: a request that has been read needs an answer, and the
  // process may be asked to stop before it can give one.
  readonly #listener = createServer(
    { pauseOnConnect: true },
    (socket) => this.#hold(socket),
  );
  readonly #connections = new Set<Socket>();

  /** Opens the port; rejects if it is in use. */
  static open(address: PortAddress): Promise<HeldPort> {
    const held = new HeldPort();
    return new Promise((resolve, reject) => {
      held.#listener.once("error", reject);
      held.#listener.listen(address.port, address.host, () => resolve(held));
    });
  }

  /** Number of connections that wait for a server. */
  get waiting(): number {
    return this.#connections.size;
  }

  /** Number of the bound port; 0 if it is closed. */
  get port(): number {
    const bound = this.#listener.address();
    return bound === null || typeof bound === "string" ? 0 : bound.port;
  }

  /** Hands the port and its waiting connections over to a server. */
  handOver(server: Server): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      // The server takes over the listening handle of this listener.
      server.listen(this.#listener, () => {
        server.off("error", reject);
        for (const socket of this.#connections) {
          socket.off("error", ignoreError);
          server.emit("connection", socket);
          socket.resume();
        }
        this.#connections.clear();
        resolve();
      });
    });
  }

  /** Closes the port and its waiting connections after a failed start. */
  close(): void {
    this.#listener.close();
    for (const socket of this.#connections) socket.destroy();
  }

  #hold(socket: Socket): void {
    this.#connections.add(socket);
    // No request of a waiting connection has been read, so there is nothing to
    // log when it breaks.
    socket.on("error", ignoreError);
    socket.once("close", () => this.#connections.delete(socket));
  }
}

function ignoreError(): void {
  // The "close" event that follows removes the connection.
}
