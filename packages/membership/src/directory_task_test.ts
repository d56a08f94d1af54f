import { setTimeout as sleep } from "node:timers/promises";
import { PeerLinks } from "@mallowlift/transport";
import { test } from "tap";
import { Directory } from "./directory.ts";
import { DirectoryTask } from "./directory_task.ts";
import { FounderGrants } from "./founder_grants.ts";

/** Counts how often idle links are looked for. */
class CountingLinks extends PeerLinks {
  looks = 0;

  override dropIdle(now: number): void {
    this.looks++;
    super.dropIdle(now);
  }
}

test("links to daemons that are gone are looked for again and again", async (t) => {
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
  while (links.looks < 3) await sleep(1);
  await task.stop();
  links.stop();
  t.pass("three looks");
});
