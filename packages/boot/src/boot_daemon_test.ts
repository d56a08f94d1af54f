import { execFile } from "node:child_process";
import { createServer } from "node:net";
import process from "node:process";
import { test } from "tap";
import { holdCallersPort } from "./boot_daemon.ts";

const ASKED = 7;
const NOT_ASKED = 1;
const MODULE = require.resolve("./mod.js");

/** Runs a script in a process of its own; returns its exit code or signal. */
function runScript(script: string): Promise<unknown> {
  const { NODE_OPTIONS: _options, ...environment } = process.env;
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      ["-e", script],
      { env: environment },
      (error) => resolve(error?.code ?? error?.signal ?? 0),
    );
  });
}

test("an order to end that comes while the code is loaded is kept", async (t) => {
  const ended = await runScript(`
    const { bootDaemon } = require(${JSON.stringify(MODULE)});
    void bootDaemon(() => {
      process.kill(process.pid, "SIGTERM");
      return ({ stopAsked }) => {
        void stopAsked.then(() => process.exit(${ASKED}));
        setTimeout(() => process.exit(${NOT_ASKED}), 20_000);
      };
    });
  `);
  t.equal(ended, ASKED);
});

test("a word of changed settings that comes meanwhile ends nothing", async (t) => {
  const ended = await runScript(`
    const { bootDaemon } = require(${JSON.stringify(MODULE)});
    void bootDaemon(() => {
      process.kill(process.pid, "SIGHUP");
      return () => setTimeout(() => process.exit(${ASKED}), 200);
    });
  `);
  t.equal(ended, ASKED);
});

test("no port is held where the command line gives none", async (t) => {
  t.equal(await holdCallersPort([]), undefined);
  t.equal(await holdCallersPort(["--settings", "/no/such/file"]), undefined);
  const folder = t.testdir({
    "store.ini": "[daemon]\nroles = store\n",
    "gateway.ini":
      "[daemon]\nroles = gateway\n[gateway]\ncallers_listen = 127.0.0.1:0\n",
  });
  t.equal(await holdCallersPort(["-s", `${folder}/store.ini`]), undefined);
  const checked = ["--check", "-s", `${folder}/gateway.ini`];
  t.equal(await holdCallersPort(checked), undefined);
  const held = await holdCallersPort(["-s", `${folder}/gateway.ini`]);
  t.ok((held?.port ?? 0) > 0);
  held?.close();
});

test("a port in use is left to the server that reports it", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const address = server.address();
  const port = typeof address === "object" ? address?.port : 0;
  const folder = t.testdir({
    "gateway.ini":
      `[daemon]\nroles = gateway\n[gateway]\ncallers_listen = 127.0.0.1:${port}\n`,
  });
  t.equal(
    await holdCallersPort(["-s", `${folder}/gateway.ini`]),
    undefined,
  );
  server.close();
});
