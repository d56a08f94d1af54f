/** Records how much of each program's prompt the engines have cached. */

/**
 * Maximum number of programs with records; needed because late events may name
 * programs that no longer exist.
 */
const MAX_PROGRAMS = 100_000;

interface CacheRecord {
  readonly sidecarId: string;
  readonly tokens: number;
}

/** Cached tokens by program and sidecar. */
export class CacheRecords {
  readonly #programs = new Map<string, CacheRecord[]>();

  /**
   * Records how many tokens of a program an engine has cached; 0 removes the
   * record.
   */
  recordTokens(sidecarId: string, programId: string, tokens: number): void {
    const known = this.#programs.get(programId) ?? [];
    const others = known.filter((cached) => cached.sidecarId !== sidecarId);
    if (tokens > 0) others.push({ sidecarId, tokens });
    this.#programs.delete(programId);
    if (others.length > 0) this.#programs.set(programId, others);
    if (this.#programs.size > MAX_PROGRAMS) this.#evictOldest();
  }

  /** Returns how many tokens of a program an engine probably has cached. */
  getTokens(sidecarId: string, programId: string): number {
    const known = this.#programs.get(programId) ?? [];
    return known.find((cached) => cached.sidecarId === sidecarId)?.tokens ?? 0;
  }

  /** Lists the sidecars whose engines may have cached a program. */
  listSidecars(programId: string): readonly string[] {
    return (this.#programs.get(programId) ?? []).map((cached) =>
      cached.sidecarId
    );
  }

  /** Removes all records of a program. */
  removeProgram(programId: string): void {
    this.#programs.delete(programId);
  }

  /** Evicts the program whose records were changed least recently. */
  #evictOldest(): void {
    for (const oldest of this.#programs.keys()) {
      this.#programs.delete(oldest);
      return;
    }
  }

  /** Removes all records of a sidecar after it has restarted. */
  removeSidecar(sidecarId: string): void {
    for (const programId of [...this.#programs.keys()]) {
      this.recordTokens(sidecarId, programId, 0);
    }
  }
}
