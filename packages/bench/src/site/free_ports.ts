/** Finds free ports on the loopback address. */

import { type AddressInfo, createServer, type Server } from "node:net";
import { createDeferred } from "@mallowlift/core";

const HOST = "127.0.0.1";

/** Returns so many different free ports. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers: Server[] = [];
  for (let opened = 0; opened < count; opened++) servers.push(await listen(0));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) await close(server);
  return ports;
}

/** Returns the port if it is free, and another one if not. */
export async function findPortNear(port: number): Promise<number> {
  try {
    await close(await listen(port));
    return port;
  } catch {
    return (await findFreePorts(1))[0] ?? 0;
  }
}

async function listen(port: number): Promise<Server> {
  const server = createServer();
  const ready = createDeferred<Error | undefined>();
  server.once("error", (error) => ready.resolve(error));
  server.listen(port, HOST, () => ready.resolve(undefined));
  const failure = await ready.promise;
  if (failure !== undefined) throw failure;
  return server;
}

async function close(server: Server): Promise<void> {
  const closed = createDeferred<void>();
  server.close(() => closed.resolve(undefined));
  await closed.promise;
}
