import { setTimeout as sleep } from "node:timers/promises";
import { PeerLinks } from "@mallowlift/transport";
import { test } from "tap";
import { Directory } from "./directory.ts";
import { DirectoryTask } from "./directory_task.ts";
import { FounderGrants } from "./founder_grants.ts";

/** Counts the checks for idle links. */
class CountingLinks extends PeerLinks {
  idleChecks = 0;

  override dropIdle(now: number): void {
    this.idleChecks++;
    super.dropIdle(now);
  }
}

test("idle links to daemons that have left are checked for periodically", async (t) => {
  const links = new CountingLinks({
    name: "a",
    sharedKey: "shared",
    maxFrameBytes: 65_536,
    connectMilliseconds: 100,
  });
  const directory = new Directory({
    name: "a",
    bootId: "1",
    address: "127.0.0.1:9",
    roles: ["gateway"],
    failureDomain: "d",
  });
  const task = new DirectoryTask({
    directory,
    grants: new FounderGrants(directory, false),
    links,
    listSeeds: () => [],
    intervalMilliseconds: 5,
    random: () => 0,
  });
  await task.start();
  while (links.idleChecks < 3) await sleep(1);
  await task.stop();
  links.stop();
  t.pass("three checks");
});
