/**
 * Two operators that send conflicting orders for the same version, and repeat
 * their orders.
 */

import { sleep } from "@mallowlift/core";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import type { SiteAnswer, SiteClient } from "../site/site_client.ts";
import type { SoakRecords } from "./records.ts";

const RESOURCE_PATH = "/v1/resources/priority/raced";
const PAUSE_MILLISECONDS = 700;
const RETRY_TIMEOUT_MILLISECONDS = 20_000;

/** Options of {@linkcode raceOperators}. */
export interface OperatorOptions {
  readonly clients: readonly SiteClient[];
  readonly records: SoakRecords;
  readonly isOver: () => boolean;
}

/** Sends orders until the soak is over; returns the last accepted version. */
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
      records.fail(
        "one winner",
        `round ${round} had ${winners.length} winners`,
      );
    }
    for (const [number, order] of orders.entries()) {
      const repeated = await sendUntilDefinite(order);
      const first = answers[number];
      if (first?.status !== 200 || repeated === undefined) continue;
      if (
        repeated.status !== 200 ||
        repeated.body.revision !== first.body.revision
      ) {
        records.fail("same answer again", `round ${round} order ${number}`);
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

/** Sends an order until it is accepted or finally refused, or until the timeout. */
async function sendUntilDefinite(
  order: Order,
): Promise<SiteAnswer | undefined> {
  const deadline = Date.now() + RETRY_TIMEOUT_MILLISECONDS;
  while (Date.now() < deadline) {
    try {
      const answer = await order.client.send({
        method: "PUT",
        path: RESOURCE_PATH,
        token: OPERATOR_TOKEN,
        body: order.body,
      });
      if (answer.status === 200 || answer.status === 409) return answer;
    } catch {
      // The entry may be down; orders are idempotent by their id, so retry.
    }
    await sleep(100);
  }
  return undefined;
}
