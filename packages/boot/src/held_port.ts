/** A port that takes connections before the server behind it is ready. */

import type { Server } from "node:http";
import { createServer, type Socket } from "node:net";

/** What a port is opened at. */
export interface PortAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Holds connections until a server adopts them. A daemon opens it first, so
 * that callers wait for the rest of the start instead of being refused: a
 * refused connection costs a caller one of its few tries.
 *
 * @example
 * ```ts
 * const held = await HeldPort.open({ host: "127.0.0.1", port: 8080 });
 * await held.adopt(createServer(handler));
 * ```
 */
export class HeldPort {
  // Nothing is read: who reads a request owes it an answer, and the process
  // may still be told to end before it can give one.
  readonly #port = createServer(
    { pauseOnConnect: true },
    (socket) => this.#hold(socket),
  );
  readonly #waiting = new Set<Socket>();

  /** Opens the port; throws if it is in use. */
  static open(address: PortAddress): Promise<HeldPort> {
    const held = new HeldPort();
    return new Promise((resolve, reject) => {
      held.#port.once("error", reject);
      held.#port.listen(address.port, address.host, () => resolve(held));
    });
  }

  /** Connections that wait for a server. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Port number. */
  get port(): number {
    const bound = this.#port.address();
    return bound === null || typeof bound === "string" ? 0 : bound.port;
  }

  /** Gives the port and the connections that wait to a server. */
  adopt(server: Server): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      // The server takes over the listening handle of the port itself.
      server.listen(this.#port, () => {
        server.off("error", reject);
        for (const socket of this.#waiting) {
          socket.off("error", ignoreBreak);
          server.emit("connection", socket);
          socket.resume();
        }
        this.#waiting.clear();
        resolve();
      });
    });
  }

  /** Closes the port and the connections that wait; for a start that failed. */
  close(): void {
    this.#port.close();
    for (const socket of this.#waiting) socket.destroy();
  }

  #hold(socket: Socket): void {
    this.#waiting.add(socket);
    // Who goes while it waits has asked for nothing yet that could be logged.
    socket.on("error", ignoreBreak);
    socket.once("close", () => this.#waiting.delete(socket));
  }
}

function ignoreBreak(): void {
  // The close that follows takes the connection off the list.
}
