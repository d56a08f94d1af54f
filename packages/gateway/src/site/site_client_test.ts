import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import type { Directory } from "@mallowlift/membership";
import type { PeerLinks } from "@mallowlift/transport";
import { test } from "tap";
import { Ok } from "ts-results";
import { SiteClient } from "./site_client.ts";

/** Silence after which a call is retried, ms. */
const SILENCE_MILLISECONDS = 40;

/** What the leader of these tests answers to its n-th `turns.begin`. */
type AnswerBegin = (
  count: number,
  signal: AbortSignal | undefined,
) => Promise<Outcome<unknown>>;

/** Creates a client of a single store, which leads and counts the begins it gets. */
function createClient(answerBegin: AnswerBegin) {
  let begins = 0;
  const link = {
    call(name: string, _request: unknown, options: { signal?: AbortSignal }) {
      if (name !== "turns.begin") return Promise.resolve(Ok({}));
      return answerBegin(++begins, options.signal);
    },
  };
  const client = new SiteClient({
    directory: { find: () => ({ address: "" }) } as unknown as Directory,
    links: { get: () => link } as unknown as PeerLinks,
    callMilliseconds: SILENCE_MILLISECONDS,
  });
  client.setLeader("store-1");
  return { client, countBegins: () => begins };
}

function waitFor(milliseconds: number): Promise<Outcome<unknown>> {
  return new Promise((resolve) =>
    setTimeout(() => resolve(Ok({ turns: [] })), milliseconds)
  );
}

/** Never answers; ends when it is cancelled. */
function waitForCancel(
  signal: AbortSignal | undefined,
): Promise<Outcome<unknown>> {
  return new Promise((resolve) =>
    signal?.addEventListener(
      "abort",
      () => resolve(fail(RESULT_CODES.CANCELLED, "Cancelled")),
    )
  );
}

const BEGIN = {
  turnId: "t",
  programId: "p",
  previousId: "",
  tokenBudget: -1,
  mostTokens: 1,
  missingFrom: "",
};

// Guards against repeated requests, which add to the load that makes a leader slow.
test("a leader that answers other calls is asked once, however long it takes", async (t) => {
  const { client, countBegins } = createClient(() =>
    waitFor(8 * SILENCE_MILLISECONDS)
  );
  const others = setInterval(
    () =>
      void client.callStore("store-1", "document.newest", {
        request: {},
        timeoutMilliseconds: 1_000,
      }),
    SILENCE_MILLISECONDS / 8,
  );
  const begun = await client.call("turns.begin", BEGIN, 10_000);
  clearInterval(others);
  t.ok(begun.ok);
  t.equal(countBegins(), 1);
});

test("a leader that answers nothing is lost, and the call is sent again once one is found", async (t) => {
  const { client, countBegins } = createClient((count, signal) =>
    count === 1 ? waitForCancel(signal) : waitFor(0)
  );
  const call = client.call("turns.begin", BEGIN, 10_000);
  while (client.leader !== undefined) await waitFor(5);
  client.setLeader("store-1");
  t.ok((await call).ok);
  t.equal(countBegins(), 2);
});

test("a call to a former leader ends when another store leads", async (t) => {
  const { client, countBegins } = createClient((count, signal) =>
    count === 1 ? waitForCancel(signal) : waitFor(0)
  );
  const call = client.call("turns.begin", BEGIN, 10_000);
  client.setLeader("store-2");
  t.ok((await call).ok);
  t.equal(countBegins(), 2);
});
