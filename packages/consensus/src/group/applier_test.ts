import {
  ENTRY_KINDS,
  type LogEntry,
  type Outcome,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { encode } from "cbor-x";
import { setImmediate as nextTurn } from "node:timers/promises";
import { test } from "tap";
import { type Applied, Applier } from "./applier.ts";
import type { EntryStore } from "./entry_store.ts";
import { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";

const ENTRIES = 2_000;
/** Turns of the event loop in which everything is applied. */
const TURNS = 200;

function createEntry(index: number): LogEntry {
  return {
    index,
    term: 1,
    kind: ENTRY_KINDS.COMMAND,
    payload: encode({ index }),
  };
}

/** An applier of so many entries, none of them applied yet. */
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

async function settle(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await nextTurn();
}

// Guards against a replay in one go, during which no voter hears its leader.
test("a long replay leaves the event loop to others in between", async (t) => {
  const { applier, applied } = createApplier(ENTRIES);
  applier.commitUntil(ENTRIES - 5);
  const inOneGo = applied.length;
  t.ok(inOneGo > 0 && inOneGo < ENTRIES / 4, `${inOneGo} in one go`);
  await nextTurn();
  applier.commitUntil(ENTRIES);
  await settle();
  const inOrder = Array.from({ length: ENTRIES }, (_, at) => at + 1);
  t.same(applied, inOrder, "each once, in order");
  t.equal(applier.appliedIndex, ENTRIES);
});

test("own proposals are decided at once, after what came before them", async (t) => {
  const { applier, applied, log } = createApplier(ENTRIES);
  const ended: Promise<Outcome<Applied>>[] = [];
  for (let own = 1; own <= ENTRIES; own++) {
    const entry = createEntry(ENTRIES + own);
    log.append(entry);
    ended.push(applier.waitFor(entry, 0));
  }
  applier.commitUntil(ENTRIES);
  await settle();
  t.equal(applied.length, ENTRIES);
  applier.commitUntil(2 * ENTRIES);
  t.equal(applied.length, 2 * ENTRIES, "in one go");
  t.equal(applier.waiting.cost, 0);
  t.ok((await Promise.all(ended)).every((outcome) => outcome.ok));
});
