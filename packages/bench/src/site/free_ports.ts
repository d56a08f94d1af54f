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

/** First port of the block that this process has taken. */
let block: Promise<number> | undefined;
/** The first port of a block is the lock that keeps others out of it. */
let next = 1;

/** Returns so many different free ports. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  block ??= takeBlock();
  const first = await block;
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_PER_BLOCK) throw new Error("Too few ports are free");
    if (next === PORTS_PER_BLOCK) next = 1;
    const port = first + next++;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Takes a block for as long as this process lives. Test files run side by
 * side, and a daemon that a test has killed leaves its port free for a while,
 * which nobody else may take meanwhile.
 */
async function takeBlock(): Promise<number> {
  for (let tries = 0; tries < BLOCKS; tries++) {
    const first = FIRST_PORT +
      ((process.pid + tries) % BLOCKS) * PORTS_PER_BLOCK;
    const lock = await listen(first);
    if (lock === undefined) continue;
    lock.unref();
    return first;
  }
  throw new Error("Other processes have taken every block of ports");
}

/** Returns the port if it is free, and another one if not. */
export async function findPortNear(port: number): Promise<number> {
  if (await isFree(port)) return port;
  return (await findFreePorts(1))[0] ?? 0;
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) return false;
  const closed = createDeferred<void>();
  server.close(() => closed.resolve(undefined));
  await closed.promise;
  return true;
}

/** Listens on a port; undefined if it is taken. */
async function listen(port: number): Promise<Server | undefined> {
  const server: Server = createServer();
  const opened = createDeferred<boolean>();
  server.once("error", () => opened.resolve(false));
  server.listen(port, HOST, () => opened.resolve(true));
  return await opened.promise ? server : undefined;
}
