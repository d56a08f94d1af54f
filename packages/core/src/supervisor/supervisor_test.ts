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

// Guards against roles of one daemon that each count their own time to stop.
test("all children learn the end of a stop before the first one stops", async (t) => {
  const events: string[] = [];
  const supervisor = new Supervisor("root", OPTIONS);
  for (const name of ["first", "second"]) {
    supervisor.add(() => ({
      ...createChild(name, events),
      prepareStop: (endAt) => events.push(`prepare ${name} ${endAt}`),
      stop: (endAt) => Promise.resolve(void events.push(`${name} ${endAt}`)),
    }));
  }
  await supervisor.start();
  events.length = 0;
  await supervisor.stop(7);
  t.same(events, [
    "prepare first 7",
    "prepare second 7",
    "second 7",
    "first 7",
  ]);
});

// Guards against a stop amid a start that leaves a child running, with the requests
// that it has read.
test("a child that starts amid a stop is stopped, and no other is started", async (t) => {
  const events: string[] = [];
  const begun = createDeferred<void>();
  const started = createDeferred<void>();
  const supervisor = new Supervisor("root", OPTIONS);
  supervisor.add(() => createChild("ready", events));
  supervisor.add(() => ({
    ...createChild("slow", events),
    start: () => {
      begun.resolve(undefined);
      return started.promise;
    },
  }));
  supervisor.add(() => createChild("never", events));
  const starting = supervisor.start();
  await begun.promise;
  const stopping = supervisor.stop(0);
  started.resolve(undefined);
  await starting;
  await stopping;
  t.same(events, ["start ready", "stop ready", "stop slow"]);
});
