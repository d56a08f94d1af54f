/** Finds free ports on the loopback address. */

import { createServer, type Server } from "node:net";
import process from "node:process";
import { createDeferred } from "@mallowlift/core";

const HOST = "127.0.0.1";

/**
 * The first port to use. The ports lie below the system's range for outgoing
 * connections, where a port that was found free may be taken before it is used.
 */
const FIRST_PORT = 16_384;
const BLOCKS = 64;
const PORTS_PER_BLOCK = 256;

/** The first port of the block that this process has reserved. */
let reservedBlock: Promise<number> | undefined;
/** Offset of the next port to try. Offset 0 is the lock that reserves the block. */
let nextOffset = 1;

/** Returns the given number of distinct free ports. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  reservedBlock ??= reserveBlock();
  const first = await reservedBlock;
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_PER_BLOCK) throw new Error("Too few free ports");
    if (nextOffset === PORTS_PER_BLOCK) nextOffset = 1;
    const port = first + nextOffset++;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Reserves a block of ports until this process ends. Test files run in
 * parallel: the port of a daemon that one test has killed and will start again
 * is free for a while, and no other test may take it.
 */
async function reserveBlock(): Promise<number> {
  for (let tries = 0; tries < BLOCKS; tries++) {
    const first = FIRST_PORT +
      ((process.pid + tries) % BLOCKS) * PORTS_PER_BLOCK;
    const lock = await listen(first);
    if (lock === undefined) continue;
    lock.unref();
    return first;
  }
  throw new Error("All blocks of ports are reserved by other processes");
}

/** Returns the given port if it is free, and otherwise another free port. */
export async function choosePort(port: number): Promise<number> {
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

/** Listens on a port; returns undefined if the port is in use. */
async function listen(port: number): Promise<Server | undefined> {
  const server: Server = createServer();
  const opened = createDeferred<boolean>();
  server.once("error", () => opened.resolve(false));
  server.listen(port, HOST, () => opened.resolve(true));
  return await opened.promise ? server : undefined;
}
