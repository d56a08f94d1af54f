/** A daemon's copy of the configuration. */

import {
  type ConfigurationUpdate,
  hashText,
  type Resource,
  type ResourceChange,
  type ResourceKind,
  type ResourceSpecs,
} from "@mallowlift/core";

/** Name and spec of an outfit. */
export interface Outfit {
  readonly name: string;
  readonly spec: ResourceSpecs["outfit"];
}

/** Limits that the budgets of an outfit set for each of its programs. */
export interface ProgramLimits {
  readonly tokens: number;
  readonly turns: number;
}

const DEFAULT_LIMITS: ProgramLimits = { tokens: 1_000_000_000, turns: 100_000 };

/** Holds resources by kind and name; its revision never decreases. */
export class ConfigurationView {
  #revision = -1;
  #resources = new Map<string, Resource>();
  #outfitsByToken = new Map<string, Outfit>();

  /** Revision of the last update, or -1 before the first one. */
  get revision(): number {
    return this.#revision;
  }

  /** Applies an update, and ignores it if its revision is not later. */
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

  /** Returns the resource of a kind and name, or undefined. */
  find<K extends ResourceKind>(kind: K, name: string): Resource<K> | undefined {
    return this.#resources.get(`${kind}/${name}`) as Resource<K> | undefined;
  }

  /** Returns all resources of a kind, sorted by name. */
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

  /** Returns the lowest of the limits that budgets set for an outfit. */
  findLimits(outfit: string): ProgramLimits {
    let { tokens, turns } = DEFAULT_LIMITS;
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
