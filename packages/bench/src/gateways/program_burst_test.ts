/**
 * Guards against a site that stays unavailable after a burst of programs that its
 * leader has not the processor for: commands wait for longer than their callers, so
 * that the leader decides them for nobody, is asked for them again, and serves no
 * program in time even after the burst.
 */

import { type Test, test } from "tap";
import {
  COMMAND_MILLISECONDS,
  LEADER_COMMANDS_PER_SECOND,
} from "./counted_work.ts";
import { ProgramCallers } from "./program_callers.ts";
import { startTestSite } from "./start_test_site.ts";
import { sumStoreCounter } from "./store_metrics.ts";

/** Turns of each program, one after the other. */
const TURNS = 4;
/** Time in which a program should end, from its first attempt, ms. */
const AIM_MILLISECONDS = 3_000;
/** Commands of each program: one to begin and one to end each turn. */
const COMMANDS = 2 * TURNS;
/**
 * Programs a second that the leader can carry. It follows from the counted work of
 * the stores: a measured one would change with the load of the machine.
 */
const LIMIT = LEADER_COMMANDS_PER_SECOND / COMMANDS;
/** Programs that run at the same time before the burst. */
const EARLIER_PROGRAMS = 60;
const EARLIER_MILLISECONDS = 5_000;
const BURST_FACTOR = 3;
const BURST_MILLISECONDS = 10_000;
/** Load after the burst, as a part of the limit. */
const LATER_FACTOR = 0.6;
/** Time after the burst from which programs are served in time again, ms. */
const RECOVERY_MILLISECONDS = 5_000;
const LATER_MILLISECONDS = 10_000;
/** Timeout of the test, ms; it usually takes 50 s. */
const TEST_TIMEOUT_MILLISECONDS = 150_000;

test("programs end in time amid and after a burst beyond the leader's processor", async (t: Test) => {
  t.setTimeout(TEST_TIMEOUT_MILLISECONDS);
  const running = await startTestSite(t, {
    gateways: 2,
    waitMilliseconds: 2_500,
    preloadedByStores: require.resolve("./reduced_processor.js"),
  });
  for (const store of running.site.stores) store.process.signal("SIGUSR2");
  const callers = new ProgramCallers(running, {
    name: "program",
    path: "/stream/x",
    turns: TURNS,
    aimMilliseconds: AIM_MILLISECONDS,
  });
  const earlier = await callers.keepRunning(
    EARLIER_PROGRAMS,
    EARLIER_MILLISECONDS,
  );
  const servedEarlier = earlier.filter(({ isServed }) => isServed).length;
  t.comment(
    `limit: ${LIMIT} programs a second; served before the burst: ` +
      `${servedEarlier * 1_000 / EARLIER_MILLISECONDS} a second`,
  );
  t.ok(
    servedEarlier * COMMANDS * COMMAND_MILLISECONDS <= EARLIER_MILLISECONDS,
    "the leader's work is counted",
  );

  const countCommands = async () => ({
    decided: await sumStoreCounter(running, "mallowlift_proposals_total"),
    abandoned: await sumStoreCounter(
      running,
      "mallowlift_unheard_answers_total",
    ),
  });
  const before = await countCommands();
  const burst = await callers.startAtRate(
    BURST_FACTOR * LIMIT,
    BURST_MILLISECONDS,
  );
  const later = await callers.startAtRate(
    LATER_FACTOR * LIMIT,
    RECOVERY_MILLISECONDS + LATER_MILLISECONDS,
  );
  const inBurst = callers.countInTime(await Promise.all(burst));
  const laterOutcomes = await Promise.all(later);
  const recovered = laterOutcomes.slice(
    Math.ceil(LATER_FACTOR * LIMIT * RECOVERY_MILLISECONDS / 1_000),
  );
  const after = await countCommands();
  const decided = after.decided - before.decided;
  const abandoned = after.abandoned - before.abandoned;
  t.comment(
    `in time: ${inBurst} of ${burst.length} in the burst, ${
      callers.countInTime(recovered)
    } of ${recovered.length} after it; ` +
      `commands: ${decided}, without a waiting caller: ${abandoned}`,
  );
  t.ok(
    inBurst >= 0.75 * LIMIT * BURST_MILLISECONDS / 1_000,
    "three quarters of what the site serves at its limit are served in the burst",
    { inBurst, limit: LIMIT },
  );
  t.ok(
    callers.countInTime(recovered) >= 0.95 * recovered.length,
    "programs are served in time again within 5 s of the burst's end",
    {
      lost: recovered.filter((outcome) => !callers.isInTime(outcome))
        .slice(0, 10),
    },
  );
  t.ok(
    abandoned < decided / 10,
    "few commands are decided without a waiting caller",
  );
});
