/** The fake engine's prefix cache: a tree of prompt messages in limited memory. */

import { createHash } from "node:crypto";
import type { ChatMessage } from "@mallowlift/core";

const BYTES_PER_TOKEN = 4;
const ROOT_HASH = "root";

interface CacheNode {
  readonly hash: string;
  readonly parent: string;
  readonly tokens: number;
  readonly sessions: Set<string>;
  children: number;
  usedAt: number;
}

/** One cached message, as engines hand it to each other. */
export interface ExportedPrefix {
  readonly hash: string;
  readonly parent: string;
  readonly tokens: number;
}

/** How much of a prompt was found. */
export interface CacheLookup {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Counts the tokens of one message as the fake engine does. */
export function countTokens(message: ChatMessage): number {
  return 1 + Math.ceil(message.content.length / BYTES_PER_TOKEN);
}

/** Caches prompt prefixes, least recently used out first. */
export class PrefixCache {
  readonly #capacityTokens: number;
  readonly #nodes = new Map<string, CacheNode>();
  #tokens = 0;
  #clock = 0;

  constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /** Tokens held. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Programs that hold memory. */
  get sessions(): readonly string[] {
    const sessions = new Set<string>();
    for (const node of this.#nodes.values()) {
      for (const session of node.sessions) sessions.add(session);
    }
    return [...sessions].sort();
  }

  /** Looks a prompt up and keeps it for a session. */
  use(messages: readonly ChatMessage[], session: string): CacheLookup {
    let parent = ROOT_HASH;
    let promptTokens = 0;
    let cachedTokens = 0;
    let isHit = true;
    for (const message of messages) {
      const hash = hashMessage(parent, message);
      const tokens = countTokens(message);
      const known = this.#nodes.get(hash);
      isHit = isHit && known !== undefined;
      promptTokens += tokens;
      if (isHit) cachedTokens += tokens;
      this.#keep({ hash, parent, tokens, session });
      parent = hash;
    }
    this.#evict();
    return { promptTokens, cachedTokens };
  }

  /** Returns what a session holds, parents before children. */
  exportSession(session: string): readonly ExportedPrefix[] {
    const exported: ExportedPrefix[] = [];
    for (const { hash, parent, tokens, sessions } of this.#nodes.values()) {
      if (sessions.has(session)) exported.push({ hash, parent, tokens });
    }
    return exported;
  }

  /** Takes over what another engine has exported. */
  importSession(session: string, exported: readonly ExportedPrefix[]): void {
    for (const prefix of exported) this.#keep({ ...prefix, session });
    this.#evict();
  }

  /** Frees what only this session holds. */
  release(session: string): void {
    for (const node of [...this.#nodes.values()]) {
      node.sessions.delete(session);
    }
    for (const node of [...this.#nodes.values()].toReversed()) {
      if (node.sessions.size === 0 && node.children === 0) this.#remove(node);
    }
  }

  #keep(
    entry: {
      readonly hash: string;
      readonly parent: string;
      readonly tokens: number;
      readonly session: string;
    },
  ): void {
    const known = this.#nodes.get(entry.hash);
    const usedAt = ++this.#clock;
    if (known !== undefined) {
      known.usedAt = usedAt;
      known.sessions.add(entry.session);
      return;
    }
    const { hash, parent, tokens } = entry;
    const sessions = new Set([entry.session]);
    this.#nodes.set(hash, {
      hash,
      parent,
      tokens,
      sessions,
      children: 0,
      usedAt,
    });
    const parentNode = this.#nodes.get(parent);
    if (parentNode !== undefined) parentNode.children++;
    this.#tokens += tokens;
  }

  #evict(): void {
    while (this.#tokens > this.#capacityTokens) {
      let oldest: CacheNode | undefined;
      for (const node of this.#nodes.values()) {
        if (node.children > 0) continue;
        if (oldest === undefined || node.usedAt < oldest.usedAt) oldest = node;
      }
      if (oldest === undefined) return;
      this.#remove(oldest);
    }
  }

  #remove(node: CacheNode): void {
    this.#nodes.delete(node.hash);
    this.#tokens -= node.tokens;
    const parent = this.#nodes.get(node.parent);
    if (parent !== undefined) parent.children--;
  }
}

function hashMessage(parent: string, message: ChatMessage): string {
  return createHash("sha1").update(
    `${parent}\n${message.role}\n${message.content}`,
  ).digest("hex");
}
