/** The configuration in force at one daemon. */

import {
  type ConfigurationUpdate,
  hashText,
  type Resource,
  type ResourceChange,
  type ResourceKind,
  type ResourceSpecs,
} from "@mallowlift/core";

/** An outfit, found by a token. */
export interface Outfit {
  readonly name: string;
  readonly spec: ResourceSpecs["outfit"];
}

/** Limits on a program, by the budgets of its outfit. */
export interface ProgramLimits {
  readonly tokens: number;
  readonly turns: number;
}

const NO_LIMITS: ProgramLimits = { tokens: 1_000_000_000, turns: 100_000 };

/** Resources by kind and name; never goes back in revision. */
export class ConfigurationView {
  #revision = -1;
  #resources = new Map<string, Resource>();
  #outfitsByToken = new Map<string, Outfit>();

  /** Revision in force; -1 before the first update. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes over an update; one that does not go forward is dropped. */
  update(update: ConfigurationUpdate): void {
    if (update.revision <= this.#revision) return;
    if (update.whole) {
      this.#resources = new Map();
      for (const resource of update.resources) this.#put(resource);
    } else {
      for (const change of update.changes) this.#applyChange(change);
    }
    this.#revision = update.revision;
    this.#indexTokens();
  }

  /** Returns a resource. */
  find<K extends ResourceKind>(kind: K, name: string): Resource<K> | undefined {
    return this.#resources.get(`${kind}/${name}`) as Resource<K> | undefined;
  }

  /** Returns all resources of a kind, by name. */
  list<K extends ResourceKind>(kind: K): readonly Resource<K>[] {
    const found: Resource<K>[] = [];
    for (const resource of this.#resources.values()) {
      if (resource.kind === kind) found.push(resource as Resource<K>);
    }
    return found.sort((left, right) => left.name < right.name ? -1 : 1);
  }

  /** Returns the outfit that a bearer token belongs to. */
  findOutfit(token: string): Outfit | undefined {
    return this.#outfitsByToken.get(hashText(token));
  }

  /** Returns the least of the limits that budgets set for an outfit. */
  findLimits(outfit: string): ProgramLimits {
    let { tokens, turns } = NO_LIMITS;
    for (const budget of this.list("budget")) {
      if (budget.spec.outfit !== outfit) continue;
      tokens = Math.min(tokens, budget.spec.tokens_per_program);
      turns = Math.min(turns, budget.spec.turns_per_program);
    }
    return { tokens, turns };
  }

  #applyChange(change: ResourceChange): void {
    if (change.revision <= this.#revision) return;
    if (change.resource !== undefined) return this.#put(change.resource);
    this.#resources.delete(`${change.kind}/${change.name}`);
  }

  #put(resource: Resource): void {
    this.#resources.set(`${resource.kind}/${resource.name}`, resource);
  }

  #indexTokens(): void {
    this.#outfitsByToken = new Map();
    for (const outfit of this.list("outfit")) {
      for (const digest of outfit.spec.token_sha256) {
        this.#outfitsByToken.set(digest, {
          name: outfit.name,
          spec: outfit.spec,
        });
      }
    }
  }
}
