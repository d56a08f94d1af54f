/** Handles requests to retire stores while this store leads. */

import type { ReplicatedGroup } from "@mallowlift/consensus";
import {
  type EmptyMessage,
  fail,
  type Outcome,
  RESULT_CODES,
  type RetirementStatus,
  type RetireStore,
} from "@mallowlift/core";
import type { SiteState } from "@mallowlift/sessions";
import { Ok } from "ts-results";
import type { ProposeCommand } from "./propose_command.ts";

/** Dependencies and settings of a {@linkcode RetirementOwner}. */
export interface RetirementOwnerOptions {
  readonly state: SiteState;
  readonly propose: ProposeCommand;
  /** Minimum number of members that must remain when a store retires. */
  readonly minStores: number;
  readonly getGroup: () => ReplicatedGroup | undefined;
}

/** Starts retirements of stores, and reports whether they are complete. */
export class RetirementOwner {
  readonly #options: RetirementOwnerOptions;

  constructor(options: RetirementOwnerOptions) {
    this.#options = options;
  }

  /** Starts to retire a store; succeeds again if it is already retiring. */
  async retire(
    request: RetireStore,
    signal: AbortSignal,
  ): Promise<Outcome<EmptyMessage>> {
    const { state, minStores, getGroup, propose } = this.#options;
    const members = getGroup()?.membership.members ?? [];
    const target = members.find((member) => member.replicaId === request.name);
    const retiringIncarnation = state.retiring.get(request.name);
    // A repeated request also succeeds after the store has left the group.
    if (
      retiringIncarnation !== undefined &&
      (target?.incarnation ?? retiringIncarnation) === retiringIncarnation
    ) {
      return Ok({});
    }
    if (target === undefined) {
      return fail(RESULT_CODES.DAEMON_NOT_FOUND, "No store has this name");
    }
    const retiring = new Set(state.retiring.values());
    const remaining = members.filter((member) =>
      member !== target && !retiring.has(member.incarnation)
    );
    if (remaining.length < minStores) {
      return fail(
        RESULT_CODES.TOO_FEW_STORES,
        `Only ${remaining.length} stores would remain`,
      );
    }
    const { incarnation } = target;
    const { name } = request;
    const result = await propose({ kind: "retire", name, incarnation }, signal);
    return result.err ? result : Ok({});
  }

  /**
   * Returns whether a retirement is complete, so that the remaining stores hold
   * all data: the store is no longer a member, the latest membership change is
   * applied, and enough voters remain.
   */
  async getState(
    request: RetireStore,
    signal: AbortSignal,
  ): Promise<Outcome<RetirementStatus>> {
    const { state, minStores, getGroup, propose } = this.#options;
    const result = await propose({ kind: "read" }, signal);
    if (result.err) return result;
    const group = getGroup();
    if (group === undefined) {
      return fail(RESULT_CODES.NOT_LEADER, "This store is not the leader");
    }
    const retiringIncarnation = state.retiring.get(request.name);
    if (retiringIncarnation === undefined) {
      return fail(
        RESULT_CODES.DAEMON_NOT_FOUND,
        "The named store is not being retired",
      );
    }
    const { membership } = group;
    const isMember = membership.members.some((member) =>
      member.incarnation === retiringIncarnation
    );
    const isSettled = membership.changedIndex <= group.appliedIndex &&
      membership.voters.length >= minStores;
    return Ok({ done: !isMember && isSettled });
  }
}
