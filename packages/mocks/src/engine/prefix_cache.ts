/** Prefix cache of the fake engine: a tree of prompt messages of limited size. */

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

/** One cached message, in the form that engines exchange. */
export interface ExportedPrefix {
  readonly hash: string;
  readonly parent: string;
  readonly tokens: number;
}

/** Size of a prompt and of its part that was in the cache. */
export interface CacheLookup {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Returns the number of tokens that the fake engine counts for a message. */
export function countTokens(message: ChatMessage): number {
  return 1 + Math.ceil(message.content.length / BYTES_PER_TOKEN);
}

/** Caches prompt prefixes and evicts the least recently used one first. */
export class PrefixCache {
  readonly #capacityTokens: number;
  readonly #nodes = new Map<string, CacheNode>();
  #tokens = 0;
  #useCount = 0;

  constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /** Tokens of all cached messages. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Sessions that have cached messages, sorted. */
  get sessions(): readonly string[] {
    const sessions = new Set<string>();
    for (const node of this.#nodes.values()) {
      for (const session of node.sessions) sessions.add(session);
    }
    return [...sessions].sort();
  }

  /** Looks up a prompt, then caches all of it for a session. */
  lookUpAndCache(
    messages: readonly ChatMessage[],
    session: string,
  ): CacheLookup {
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
      this.#cache({ hash, parent, tokens, session });
      parent = hash;
    }
    this.#evict();
    return { promptTokens, cachedTokens };
  }

  /** Returns the cached messages of a session, parents before children. */
  exportSession(session: string): readonly ExportedPrefix[] {
    const exported: ExportedPrefix[] = [];
    for (const { hash, parent, tokens, sessions } of this.#nodes.values()) {
      if (sessions.has(session)) exported.push({ hash, parent, tokens });
    }
    return exported;
  }

  /** Caches messages that another engine has exported. */
  importSession(session: string, exported: readonly ExportedPrefix[]): void {
    for (const prefix of exported) this.#cache({ ...prefix, session });
    this.#evict();
  }

  /** Frees the messages that only this session uses. */
  release(session: string): void {
    for (const node of [...this.#nodes.values()]) {
      node.sessions.delete(session);
    }
    for (const node of [...this.#nodes.values()].toReversed()) {
      if (node.sessions.size === 0 && node.children === 0) this.#remove(node);
    }
  }

  #cache(
    entry: {
      readonly hash: string;
      readonly parent: string;
      readonly tokens: number;
      readonly session: string;
    },
  ): void {
    const known = this.#nodes.get(entry.hash);
    const usedAt = ++this.#useCount;
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
