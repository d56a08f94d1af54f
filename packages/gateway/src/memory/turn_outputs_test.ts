import { test } from "tap";
import { ByteAccount } from "./byte_account.ts";
import { TurnOutputs } from "./turn_outputs.ts";

const MAX_BYTES = 8_388_608;
const OUTPUT_BYTES = 1_000_000;

// Guards against turns that all begin and then find no room to end.
test("turns with the usual output begin only if all of them have room", (t) => {
  const outputs = new TurnOutputs(new ByteAccount(MAX_BYTES));
  outputs.record(OUTPUT_BYTES);
  const opened = Array.from({ length: 20 }, () => outputs.tryOpen(0));
  const admitted = opened.filter((room) => room !== undefined);
  t.equal(admitted.length, 4);
  t.ok(admitted.every((room) => room.tryResize(1.5 * OUTPUT_BYTES)));
  for (const room of admitted) room.release(10);
  t.ok(outputs.tryOpen(10), "room that is free again admits the next one");
  t.end();
});

test("a single turn begins however large outputs usually are", (t) => {
  const outputs = new TurnOutputs(new ByteAccount(MAX_BYTES));
  outputs.record(2 * MAX_BYTES);
  t.ok(outputs.tryOpen(0));
  t.equal(outputs.tryOpen(0), undefined);
  t.end();
});
