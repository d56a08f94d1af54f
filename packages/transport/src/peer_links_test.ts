import { performance } from "node:perf_hooks";
import { test } from "tap";
import { PeerLinks } from "./peer_links.ts";

/** Longer than the idle timeout of a link, ms. */
const PAST_IDLE_TIMEOUT_MILLISECONDS = 121_000;

function createLinks(): PeerLinks {
  return new PeerLinks({
    name: "test",
    sharedKey: "shared",
    maxFrameBytes: 65_536,
    connectMilliseconds: 100,
  });
}

test("a link without a call for longer than the idle timeout is dropped", (t) => {
  const links = createLinks();
  t.teardown(() => links.stop());
  links.get("127.0.0.1:9");
  links.dropIdle(performance.now());
  t.same(links.list(), ["127.0.0.1:9"]);
  links.dropIdle(performance.now() + PAST_IDLE_TIMEOUT_MILLISECONDS);
  t.same(links.list(), []);
  t.end();
});

test("a jump of the system clock neither drops a link nor keeps an idle one", (t) => {
  const links = createLinks();
  const { now } = Date;
  t.teardown(() => {
    Date.now = now;
    links.stop();
  });
  for (
    const jump of [
      -PAST_IDLE_TIMEOUT_MILLISECONDS,
      PAST_IDLE_TIMEOUT_MILLISECONDS,
    ]
  ) {
    Date.now = () => now() + jump;
    links.get("127.0.0.1:9");
    links.dropIdle(performance.now());
    t.same(links.list(), ["127.0.0.1:9"]);
    links.dropIdle(performance.now() + PAST_IDLE_TIMEOUT_MILLISECONDS);
    t.same(links.list(), []);
  }
  t.end();
});

test("large messages have a separate link, which is dropped like any other when idle", (t) => {
  const links = createLinks();
  t.teardown(() => links.stop());
  const bulk = links.getBulk("127.0.0.1:9");
  t.not(bulk, links.get("127.0.0.1:9"));
  t.equal(links.getBulk("127.0.0.1:9"), bulk);
  links.dropIdle(performance.now() + PAST_IDLE_TIMEOUT_MILLISECONDS);
  t.not(links.getBulk("127.0.0.1:9"), bulk);
  t.end();
});
