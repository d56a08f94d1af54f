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
import type { CallOptions, PeerClient } from "@mallowlift/transport";
import fc from "fast-check";
import { test } from "tap";
import { StreamFollower } from "./stream_follower.ts";

const SEED = 1;

/** A sidecar that sends chunks when the test calls `send`. */
class FakeSidecar implements PeerClient {
  send: ((chunk: TextChunk) => void) | undefined;

  call<N extends HandlerName>(
    _name: N,
    _request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    this.send = options.onChunk as (chunk: TextChunk) => void;
    const done = createDeferred<Outcome<never>>();
    options.signal?.addEventListener("abort", () => {
      done.resolve(fail(RESULT_CODES.CANCELLED, "Cancelled"));
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

test("each character is delivered once despite late, repeated and overlapping chunks", (t) => {
  const step = fc.record({
    offset: fc.nat(30),
    size: fc.integer({ min: 1, max: 12 }),
    startsAttempt: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.string({ maxLength: 30 }),
      fc.array(step),
      (answer, steps) => {
        let delivered = "";
        const sidecars = [new FakeSidecar(), new FakeSidecar()];
        let attempt = 1;
        const follower = new StreamFollower({
          findSidecar: () => sidecars[attempt % 2] ?? new FakeSidecar(),
          reportDeliveredText: () => Promise.resolve(),
          onText: (text) => delivered += text,
          signal: new AbortController().signal,
        });
        follower.handleEvent(createEvent(attempt));
        for (const { offset, size, startsAttempt } of steps) {
          const text = answer.slice(offset, offset + size);
          for (const sidecar of sidecars) sidecar.send?.({ offset, text });
          if (!answer.startsWith(delivered)) return false;
          if (startsAttempt) follower.handleEvent(createEvent(++attempt));
        }
        return follower.finish(answer) && delivered === answer;
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("an answer that does not begin with the delivered text is detected", (t) => {
  const sidecar = new FakeSidecar();
  const follower = new StreamFollower({
    findSidecar: () => sidecar,
    reportDeliveredText: () => Promise.resolve(),
    onText: () => undefined,
    signal: new AbortController().signal,
  });
  follower.handleEvent(createEvent(1));
  sidecar.send?.({ offset: 0, text: "snow" });
  t.notOk(follower.finish("ice and snow"));
  t.end();
});
