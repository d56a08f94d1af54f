/** Two operators who race each other with equal versions and resend their orders. */

import { sleep } from "@mallowlift/core";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import type { SiteAnswer, SiteClient } from "../site/site_client.ts";
import type { SoakRecords } from "./records.ts";

const PATH = "/v1/resources/priority/raced";
const PAUSE_MILLISECONDS = 700;
const TRY_MILLISECONDS = 20_000;

/** What the operators work with. */
export interface OperatorOptions {
  readonly clients: readonly SiteClient[];
  readonly records: SoakRecords;
  readonly isOver: () => boolean;
}

/** Races until the soak is over; returns the last version that was won. */
export async function raceOperators(options: OperatorOptions): Promise<number> {
  const { clients, records, isOver } = options;
  let version = 0;
  for (let round = 1; !isOver(); round++) {
    const orders = clients.map((client, number) => ({
      client,
      body: {
        order_id: `race-${round}-${number}`,
        version,
        spec: { level: number + 1 },
      },
    }));
    const answers = await Promise.all(
      orders.map((order) => sendUntilDefinite(order)),
    );
    const winners = answers.filter((answer) => answer?.status === 200);
    if (
      answers.every((answer) => answer !== undefined) && winners.length !== 1
    ) {
      records.violate(
        "one winner",
        `round ${round} had ${winners.length} winners`,
      );
    }
    for (const [number, order] of orders.entries()) {
      const again = await sendUntilDefinite(order);
      const first = answers[number];
      if (first?.status !== 200 || again === undefined) continue;
      if (again.status !== 200 || again.body.revision !== first.body.revision) {
        records.violate("same answer again", `round ${round} order ${number}`);
      }
    }
    if (winners.length === 1) {
      version = Number(winners[0]?.body.version);
      records.count("configuration change");
    }
    await sleep(PAUSE_MILLISECONDS);
  }
  return version;
}

interface Order {
  readonly client: SiteClient;
  readonly body: object;
}

/** Sends the same order until it is accepted or refused for good. */
async function sendUntilDefinite(
  order: Order,
): Promise<SiteAnswer | undefined> {
  const deadline = Date.now() + TRY_MILLISECONDS;
  while (Date.now() < deadline) {
    try {
      const answer = await order.client.send({
        method: "PUT",
        path: PATH,
        token: OPERATOR_TOKEN,
        body: order.body,
      });
      if (answer.status === 200 || answer.status === 409) return answer;
    } catch {
      // The entry may be down; the order id makes it safe to ask again.
    }
    await sleep(100);
  }
  return undefined;
}
