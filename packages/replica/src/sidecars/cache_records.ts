/** Own records of which engine has how much of a program's prompt cached. */

const KEPT_PROGRAMS = 100_000;

interface CachedProgram {
  readonly sidecarId: string;
  readonly tokens: number;
}

/** Cached tokens by program; each program remembers its latest engines. */
export class CacheRecords {
  readonly #programs = new Map<string, CachedProgram[]>();

  /** Notes what an engine holds of a program; 0 for nothing. */
  note(sidecarId: string, programId: string, tokens: number): void {
    const known = this.#programs.get(programId) ?? [];
    const others = known.filter((cached) => cached.sidecarId !== sidecarId);
    if (tokens > 0) others.push({ sidecarId, tokens });
    this.#programs.delete(programId);
    if (others.length > 0) this.#programs.set(programId, others);
    if (this.#programs.size > KEPT_PROGRAMS) this.#forgetOldest();
  }

  /** Tokens of a program that an engine probably has cached. */
  findTokens(sidecarId: string, programId: string): number {
    const known = this.#programs.get(programId) ?? [];
    return known.find((cached) => cached.sidecarId === sidecarId)?.tokens ?? 0;
  }

  /** Sidecars that may hold memory for a program. */
  listSidecars(programId: string): readonly string[] {
    return (this.#programs.get(programId) ?? []).map((cached) =>
      cached.sidecarId
    );
  }

  /** Forgets a program. */
  forgetProgram(programId: string): void {
    this.#programs.delete(programId);
  }

  /** Late events may name programs that are gone, so there is a limit. */
  #forgetOldest(): void {
    for (const oldest of this.#programs.keys()) {
      this.#programs.delete(oldest);
      return;
    }
  }

  /** Forgets a sidecar that has restarted. */
  forgetSidecar(sidecarId: string): void {
    for (const programId of [...this.#programs.keys()]) {
      this.note(sidecarId, programId, 0);
    }
  }
}
