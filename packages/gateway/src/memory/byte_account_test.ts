import fc from "fast-check";
import { test } from "tap";
import {
  ByteAccount,
  type ByteReservation,
  SMALL_BYTES,
} from "./byte_account.ts";

const SEED = 68;
const MAX_BYTES = 8_388_608;
const MAX_BODY_BYTES = 12_000_000;

interface Step {
  readonly kind: "reserve" | "resize" | "release";
  readonly owner: string | undefined;
  readonly bytes: number;
  readonly index: number;
}

const OWNERS = [undefined, "", "north", "south"];
const steps = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom("reserve", "reserve", "resize", "release"),
    owner: fc.constantFrom(...OWNERS),
    bytes: fc.oneof(
      fc.integer({ min: 0, max: SMALL_BYTES }),
      fc.integer({ min: 0, max: MAX_BODY_BYTES }),
    ),
    index: fc.nat(),
  }),
  { maxLength: 200 },
);

/** Applies a step to the account and to the list of open reservations. */
function apply(
  account: ByteAccount,
  open: ByteReservation[],
  step: Step,
): void {
  const { kind, owner, bytes, index } = step;
  const position = index % Math.max(1, open.length);
  const reservation = open[position];
  if (kind === "reserve") {
    const reserved = account.tryReserve(bytes, { owner, now: 0 });
    if (reserved !== undefined) open.push(reserved);
  } else if (kind === "resize") reservation?.tryResize(bytes);
  else if (reservation !== undefined) {
    reservation.release(10);
    reservation.release(10);
    open.splice(position, 1);
  }
}

function sum(open: readonly ByteReservation[]): number {
  return open.reduce((total, { bytes }) => total + bytes, 0);
}

test("the bound holds unless a single large holder passes it, and all is released", (t) => {
  fc.assert(
    fc.property(steps, (list) => {
      const account = new ByteAccount(MAX_BYTES);
      const open: ByteReservation[] = [];
      for (const step of list) {
        apply(account, open, step);
        const large = open.filter(({ bytes }) => bytes > SMALL_BYTES);
        const isAlone = large.length === 1;
        if (account.bytes !== sum(open)) return false;
        if (account.bytes > MAX_BYTES && !isAlone) return false;
      }
      for (const reservation of open) reservation.release(10);
      return account.bytes === 0 &&
        OWNERS.every((owner) => account.findOwned(owner ?? "") === 0);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
  t.end();
});

test("no kind of request is shut out, whatever others hold", (t) => {
  fc.assert(
    fc.property(steps, (list) => {
      const account = new ByteAccount(MAX_BYTES);
      const open: ByteReservation[] = [];
      for (const step of list) {
        // The rule of the single large holder is tested for itself.
        const bytes = Math.min(step.bytes, MAX_BYTES / 8);
        apply(account, open, { ...step, bytes });
      }
      const now = 20;
      const small = open.filter(({ bytes }) => bytes <= SMALL_BYTES);
      const large = open.filter(({ bytes }) => bytes > SMALL_BYTES);
      for (const reservation of small) reservation.release(now);
      const first = account.tryReserve(SMALL_BYTES, { owner: "new", now });
      if (first === undefined) return false;
      for (const reservation of large) reservation.release(now);
      const details = { owner: "new", now };
      return account.tryReserve(MAX_BODY_BYTES, details) !== undefined;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

test("one owner gets half of the room, and another finds some", (t) => {
  const account = new ByteAccount(MAX_BYTES);
  const bytes = MAX_BYTES / 32;
  const reserve = (owner: string) =>
    account.tryReserve(bytes, { owner, now: 0 }) !== undefined;
  while (reserve("north"));
  const north = account.findOwned("north");
  t.ok(north > MAX_BYTES / 3 && north <= MAX_BYTES / 2, String(north));
  while (reserve("south"));
  t.ok(account.findOwned("south") >= MAX_BYTES / 8);
  t.ok(account.findOwned("south") < north);
  t.ok(reserve("west"), "a third one finds some as well");
  t.notOk(reserve("north"), "the one that holds the most is refused");
  t.end();
});

test("a single large holder fits and grows whatever its size", (t) => {
  const account = new ByteAccount(MAX_BYTES);
  const details = { owner: undefined, now: 0 };
  const single = account.tryReserve(2 * MAX_BYTES, details);
  t.ok(single?.tryResize(3 * MAX_BYTES));
  t.equal(account.tryReserve(SMALL_BYTES + 1, details), undefined);
  single?.release(0);
  t.equal(account.bytes, 0);
  t.notOk(single?.tryResize(1), "a released one does not grow");
  t.end();
});

test("refused holders are told successive times at the rate of the room", (t) => {
  const account = new ByteAccount(MAX_BYTES);
  const details = { owner: undefined, now: 0 };
  const bytes = MAX_BYTES / 4;
  t.equal(account.planRetry(bytes, { now: 0, random: () => 0 }), 250);
  account.tryReserve(bytes, details)?.release(2_000);
  const pauses = Array.from(
    { length: 40 },
    () => account.planRetry(bytes, { now: 2_000, random: () => 0 }),
  );
  t.ok((pauses[3] ?? 0) > (pauses[1] ?? 0));
  t.equal(Math.max(...pauses), 5_000);
  const longest = account.planRetry(bytes, { now: 2_000, random: () => 1 });
  t.equal(longest, 7_500);
  t.end();
});
