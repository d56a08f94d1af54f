import { test } from "tap";
import { SILENT_LOGGER } from "../logs/logger.ts";
import { createDeferred, type Deferred } from "../shared/sleep.ts";
import { type Child, Supervisor } from "./supervisor.ts";

const OPTIONS = {
  logger: SILENT_LOGGER,
  maxRestarts: 1,
  intervalMilliseconds: 60_000,
};

function createChild(
  name: string,
  events: string[],
  ended?: Promise<void>,
): Child {
  return {
    name,
    ended,
    start: () => Promise.resolve(void events.push(`start ${name}`)),
    stop: () => Promise.resolve(void events.push(`stop ${name}`)),
  };
}

test("children start in order and stop in reverse", async (t) => {
  const events: string[] = [];
  const supervisor = new Supervisor("root", OPTIONS);
  supervisor.add(() => createChild("first", events));
  supervisor.add(() => createChild("second", events));
  await supervisor.start();
  await supervisor.stop(0);
  t.same(events, ["start first", "start second", "stop second", "stop first"]);
});

test("a failed child is restarted until it fails too often", async (t) => {
  const events: string[] = [];
  const failures: Deferred<void>[] = [];
  const restarted = createDeferred<void>();
  const supervisor = new Supervisor("root", OPTIONS);
  supervisor.add(() => {
    const failure = createDeferred<void>();
    failures.push(failure);
    if (failures.length === 2) restarted.resolve(undefined);
    return createChild(`child-${failures.length}`, events, failure.promise);
  });
  await supervisor.start();
  failures[0]?.resolve(undefined);
  await restarted.promise;
  failures[1]?.resolve(undefined);
  await t.rejects(supervisor.ended, /failed too often/);
  t.same(events, ["start child-1", "start child-2"]);
});

test("a fatal child is not restarted", async (t) => {
  const supervisor = new Supervisor("root", OPTIONS);
  const failing = {
    ...createChild("disk", [], Promise.resolve()),
    isFatal: true,
  };
  supervisor.add(() => failing);
  await supervisor.start();
  await t.rejects(supervisor.ended, /Child disk failed/);
});

test("the `ended` promise of a child is read once", async (t) => {
  let reads = 0;
  const supervisor = new Supervisor("root", OPTIONS);
  supervisor.add(() => ({
    name: "child",
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    get ended(): Promise<void> {
      reads++;
      return new Promise(() => undefined);
    },
  }));
  await supervisor.start();
  t.equal(reads, 1);
  await supervisor.stop(0);
});
