import {
  createDeferred,
  fail,
  type HandlerName,
  type InternalHandlers,
  type Outcome,
  RESULT_CODES,
  type RunCallEvent,
  type TextChunk,
} from "@mallowlift/core";
import type { Caller, CallOptions } from "@mallowlift/transport";
import fc from "fast-check";
import { test } from "tap";
import { StreamFollower } from "./follow_stream.ts";

const SEED = 1;

/** A sidecar that sends chunks when the test says so. */
class FakeSidecar implements Caller {
  send: ((chunk: TextChunk) => void) | undefined;

  call<N extends HandlerName>(
    _name: N,
    _request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    this.send = options.onChunk as (chunk: TextChunk) => void;
    const done = createDeferred<Outcome<never>>();
    options.signal?.addEventListener("abort", () => {
      done.resolve(fail(RESULT_CODES.CANCELLED, "Over"));
    });
    return done.promise;
  }
}

function createEvent(attempt: number): RunCallEvent {
  const key = { group: 1, programId: "p", requestId: "r", attempt };
  return {
    event: "dispatched",
    attempt: key,
    address: "",
    bootId: "",
    told: "",
  };
}

test("late, repeated and overlapping chunks of any attempts tell each character once", (t) => {
  const step = fc.record({
    offset: fc.nat(30),
    size: fc.integer({ min: 1, max: 12 }),
    moves: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.string({ maxLength: 30 }),
      fc.array(step),
      (answer, steps) => {
        let told = "";
        const sidecars = [new FakeSidecar(), new FakeSidecar()];
        let attempt = 1;
        const follower = new StreamFollower({
          findSidecar: () => sidecars[attempt % 2] ?? new FakeSidecar(),
          sendTold: () => Promise.resolve(),
          onText: (text) => told += text,
          signal: new AbortController().signal,
        });
        follower.takeEvent(createEvent(attempt));
        for (const { offset, size, moves } of steps) {
          const text = answer.slice(offset, offset + size);
          for (const sidecar of sidecars) sidecar.send?.({ offset, text });
          if (!answer.startsWith(told)) return false;
          if (moves) follower.takeEvent(createEvent(++attempt));
        }
        return follower.finish(answer) && told === answer;
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("an answer that does not begin with what was told is recognized", (t) => {
  const sidecar = new FakeSidecar();
  const follower = new StreamFollower({
    findSidecar: () => sidecar,
    sendTold: () => Promise.resolve(),
    onText: () => undefined,
    signal: new AbortController().signal,
  });
  follower.takeEvent(createEvent(1));
  sidecar.send?.({ offset: 0, text: "snow" });
  t.notOk(follower.finish("ice and snow"));
  t.end();
});
