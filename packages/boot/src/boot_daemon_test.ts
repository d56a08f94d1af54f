import { execFile } from "node:child_process";
import { createServer } from "node:net";
import process from "node:process";
import { test } from "tap";
import { openCallersPort } from "./boot_daemon.ts";

const EXPECTED_EXIT_CODE = 7;
const TIMEOUT_EXIT_CODE = 1;
const MODULE = require.resolve("./mod.js");

/** Runs a script in a separate process; returns its exit code or signal. */
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

test("a stop request during the load of the code is not lost", async (t) => {
  const exit = await runScript(`
    const { bootDaemon } = require(${JSON.stringify(MODULE)});
    void bootDaemon(() => {
      process.kill(process.pid, "SIGTERM");
      return ({ stopRequested }) => {
        void stopRequested.then(() => process.exit(${EXPECTED_EXIT_CODE}));
        setTimeout(() => process.exit(${TIMEOUT_EXIT_CODE}), 20_000);
      };
    });
  `);
  t.equal(exit, EXPECTED_EXIT_CODE);
});

test("SIGHUP during the load of the code does not end the process", async (t) => {
  const exit = await runScript(`
    const { bootDaemon } = require(${JSON.stringify(MODULE)});
    void bootDaemon(() => {
      process.kill(process.pid, "SIGHUP");
      return () => setTimeout(() => process.exit(${EXPECTED_EXIT_CODE}), 200);
    });
  `);
  t.equal(exit, EXPECTED_EXIT_CODE);
});

// Guards against a repeated signal that ends the process amid its stop.
test("a second SIGTERM does not end the process, a second SIGINT does", async (t) => {
  const createScript = (signal: string) => `
    const { bootDaemon } = require(${JSON.stringify(MODULE)});
    void bootDaemon(() => ({ stopRequested }) => {
      void stopRequested.then((requestedAt) => {
        setImmediate(() => process.kill(process.pid, "${signal}"));
        const isTime = requestedAt > 0 && requestedAt <= performance.now();
        const code = isTime ? ${EXPECTED_EXIT_CODE} : ${TIMEOUT_EXIT_CODE};
        setTimeout(() => process.exit(code), 500);
      });
      process.kill(process.pid, "${signal}");
      setTimeout(() => process.exit(${TIMEOUT_EXIT_CODE}), 20_000);
    });
  `;
  t.equal(await runScript(createScript("SIGTERM")), EXPECTED_EXIT_CODE);
  t.equal(await runScript(createScript("SIGINT")), "SIGINT");
});

test("a port is opened only for the settings of a gateway", async (t) => {
  t.equal(await openCallersPort([]), undefined);
  t.equal(await openCallersPort(["--settings", "/no/such/file"]), undefined);
  const folder = t.testdir({
    "store.ini": "[daemon]\nroles = store\n",
    "gateway.ini":
      "[daemon]\nroles = gateway\n[gateway]\ncallers_listen = 127.0.0.1:0\n",
  });
  t.equal(await openCallersPort(["-s", `${folder}/store.ini`]), undefined);
  const checked = ["--check", "-s", `${folder}/gateway.ini`];
  t.equal(await openCallersPort(checked), undefined);
  const held = await openCallersPort(["-s", `${folder}/gateway.ini`]);
  t.ok((held?.port ?? 0) > 0);
  held?.close();
});

test("a port in use is ignored, so that the server reports it", async (t) => {
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
    await openCallersPort(["-s", `${folder}/gateway.ini`]),
    undefined,
  );
  server.close();
});
