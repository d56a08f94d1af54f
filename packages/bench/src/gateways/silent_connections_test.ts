import { performance } from "node:perf_hooks";
import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { findLeader } from "./store_metrics.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import { callTurnUntilServed } from "./turn_caller.ts";

/** Time after its acknowledgement from which all gateways obey a document, ms. */
const APPLY_MILLISECONDS = 2_000;
/** Time after a disruption from which that bound holds again, ms. */
const CONTACT_MILLISECONDS = 3_000;
/** Timeout for the gateway to obey the document, ms, far above the bound. */
const OBEY_TIMEOUT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 50;
const REMOVED_ROUTE = "write";

// Guards against a gateway that acts by an older document because its connection to
// the leader has gone silent without a reset.
test("a gateway with silent connections obeys a change in time", async (t) => {
  t.setTimeout(3 * OBEY_TIMEOUT_MILLISECONDS);
  const running = await startTestSite(t, { gateways: 2, proxied: true });
  const { site, url } = running;
  const [, other] = site.gateways;
  const leader = site.proxies.get(await findLeader(running));
  if (other === undefined || leader === undefined) throw new Error("No leader");

  // Only the connections of the first gateway go silent: the other one is stopped
  // while its connections are reset, and connects again afterwards.
  other.process.signal("SIGSTOP");
  leader.reset();
  await callTurnUntilServed(running, { id: "reconnected" });
  leader.silenceOpenConnections();
  const silentAt = performance.now();
  other.process.signal("SIGCONT");

  const document = {
    ...TEST_DOCUMENT,
    version: 2,
    routes: TEST_DOCUMENT.routes.filter(({ name }) => name !== REMOVED_ROUTE),
  };
  let isAcknowledged = false;
  while (!isAcknowledged) {
    const answer = await fetch(`${other.operatorsUrl}/v1/routing`, {
      method: "PUT",
      body: JSON.stringify(document),
    });
    isAcknowledged = answer.ok;
  }
  const boundAt = Math.max(
    performance.now() + APPLY_MILLISECONDS,
    silentAt + CONTACT_MILLISECONDS,
  );

  const lateCalls: string[] = [];
  let isObeyed = false;
  const until = performance.now() + OBEY_TIMEOUT_MILLISECONDS;
  for (let call = 0; !isObeyed && performance.now() < until; call++) {
    const sentAt = performance.now();
    const callId = `removed-${call}`;
    const { status } = await callGateway(url, { callId, path: "/write/x" });
    isObeyed = status === 404;
    const lateMilliseconds = Math.round(sentAt - boundAt);
    if (status === 200 && lateMilliseconds > 0) {
      lateCalls.push(`${callId} was sent ${lateMilliseconds} ms late`);
    }
    await sleep(POLL_MILLISECONDS);
  }
  t.ok(isObeyed, "the gateway has the document in the end");
  t.same(lateCalls, [], "calls that were served by the older document");
});
