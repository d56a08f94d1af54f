/**
 * Which upstream ran the latest turn of each program, as far as this leader was
 * told. It is a hint: it is neither replicated nor on disk, and a new leader
 * begins without it. Nothing here needs a network.
 *
 * The load it answers: lines of turns that arrive through another gateway than
 * before, which does not know where their prompt was read.
 */

/** Programs that are remembered: some minutes of new ones at a busy site. */
const MOST_PROGRAMS = 20_000;

/** Remembers the programs that were seen last. */
export class LatestUpstreams {
  readonly #byProgram = new Map<string, string>();

  /** Notes who ran a turn; a turn that nobody ran tells nothing. */
  note(programId: string, upstreamId: string): void {
    if (programId === "" || upstreamId === "") return;
    this.#byProgram.delete(programId);
    this.#byProgram.set(programId, upstreamId);
    if (this.#byProgram.size <= MOST_PROGRAMS) return;
    const [oldest] = this.#byProgram.keys();
    if (oldest !== undefined) this.#byProgram.delete(oldest);
  }

  /** Upstream of the program's latest turn; empty if it is not known. */
  find(programId: string): string {
    return this.#byProgram.get(programId) ?? "";
  }
}
