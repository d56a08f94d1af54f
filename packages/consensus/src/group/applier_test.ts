import {
  ENTRY_KINDS,
  type LogEntry,
  type Outcome,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { encode } from "cbor-x";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
import { test } from "tap";
import { type Applied, Applier } from "./applier.ts";
import type { EntryStore } from "./entry_store.ts";
import { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";

const ENTRY_COUNT = 2_000;
/** Turns of the event loop that are enough to apply all entries. */
const EVENT_LOOP_TURNS = 200;

function createEntry(index: number): LogEntry {
  return {
    index,
    term: 1,
    kind: ENTRY_KINDS.COMMAND,
    payload: encode({ index }),
  };
}

/** Creates an applier whose log holds `count` entries, none of them applied. */
function createApplier(count: number) {
  const applied: number[] = [];
  const entries = Array.from({ length: count }, (_, at) => createEntry(at + 1));
  const log = new GroupLog(0, 0, entries);
  const options = {
    group: 0,
    logger: SILENT_LOGGER,
    timing: { snapshotEntries: Infinity },
    folder: { getStored: () => ({ snapshot: undefined }) },
    stateMachine: {
      restore: () => undefined,
      apply: (_command: unknown, index: number) => applied.push(index),
    },
  };
  const applier = new Applier(
    options as unknown as GroupOptions,
    { log } as unknown as EntryStore,
  );
  return { applier, applied, log };
}

async function runEventLoop(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await yieldToEventLoop();
}

// Guards against a replay that blocks the event loop: a voter would not process
// the heartbeats of its leader until the replay ends.
test("a long replay yields to the event loop", async (t) => {
  const { applier, applied } = createApplier(ENTRY_COUNT);
  applier.commitUntil(ENTRY_COUNT - 5);
  const appliedAtOnce = applied.length;
  t.ok(
    appliedAtOnce > 0 && appliedAtOnce < ENTRY_COUNT / 4,
    `${appliedAtOnce} applied at once`,
  );
  await yieldToEventLoop();
  applier.commitUntil(ENTRY_COUNT);
  await runEventLoop();
  const inOrder = Array.from({ length: ENTRY_COUNT }, (_, at) => at + 1);
  t.same(applied, inOrder, "each entry once, in order");
  t.equal(applier.appliedIndex, ENTRY_COUNT);
});

test("local proposals are applied without a pause, after all earlier entries", async (t) => {
  const { applier, applied, log } = createApplier(ENTRY_COUNT);
  const outcomes: Promise<Outcome<Applied>>[] = [];
  for (let own = 1; own <= ENTRY_COUNT; own++) {
    const entry = createEntry(ENTRY_COUNT + own);
    log.append(entry);
    outcomes.push(applier.addProposal(entry, 0));
  }
  applier.commitUntil(ENTRY_COUNT);
  await runEventLoop();
  t.equal(applied.length, ENTRY_COUNT);
  applier.commitUntil(2 * ENTRY_COUNT);
  t.equal(applied.length, 2 * ENTRY_COUNT, "applied without a pause");
  t.equal(applier.waiting.cost, 0);
  t.ok((await Promise.all(outcomes)).every((outcome) => outcome.ok));
});
