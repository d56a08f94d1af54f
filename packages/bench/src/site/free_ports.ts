/** Finds free ports on the loopback address. */

import { createServer, type Server } from "node:net";
import process from "node:process";
import { createDeferred } from "@mallowlift/core";

const HOST = "127.0.0.1";

/**
 * Ports below those that the system gives to outgoing connections: one of
 * those may be taken between the look and the use.
 */
const FIRST_PORT = 16_384;
const BLOCKS = 64;
const PORTS_PER_BLOCK = 256;

/** Each process looks in its own block, so that test files do not race. */
const block = FIRST_PORT + (process.pid % BLOCKS) * PORTS_PER_BLOCK;
let next = 0;

/** Returns so many different free ports. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_PER_BLOCK) throw new Error("Too few ports are free");
    const port = block + (next++ % PORTS_PER_BLOCK);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Returns the port if it is free, and another one if not. */
export async function findPortNear(port: number): Promise<number> {
  if (await isFree(port)) return port;
  return (await findFreePorts(1))[0] ?? 0;
}

async function isFree(port: number): Promise<boolean> {
  const server: Server = createServer();
  const opened = createDeferred<boolean>();
  server.once("error", () => opened.resolve(false));
  server.listen(port, HOST, () => opened.resolve(true));
  if (!await opened.promise) return false;
  const closed = createDeferred<void>();
  server.close(() => closed.resolve(undefined));
  await closed.promise;
  return true;
}
