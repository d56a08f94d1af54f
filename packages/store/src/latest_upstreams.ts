/**
 * Remembers which upstream ran the latest turn of each program. The entry is a
 * hint: it is neither replicated nor persisted, and a new leader starts empty.
 *
 * The hint lets a gateway that has not seen a program before send its turn to
 * the upstream that has the prompt cached. On a simulated site of 7 gateways and
 * 8 engines, with twice the usual load for 8 s of 20 s, it lowered the number of
 * short programs that ended late from 33 of about 630 to 4 in one run, and from
 * 7 of about 680 to 0 in another.
 */

/** Maximum number of programs: the new programs of some minutes at a busy site. */
const MAX_PROGRAMS = 20_000;

/** Maps the most recent programs to upstreams; evicts the least recently updated. */
export class LatestUpstreams {
  readonly #byProgram = new Map<string, string>();

  /** Records the upstream that ran a turn; ignores a turn that no upstream ran. */
  record(programId: string, upstreamId: string): void {
    if (programId === "" || upstreamId === "") return;
    this.#byProgram.delete(programId);
    this.#byProgram.set(programId, upstreamId);
    if (this.#byProgram.size <= MAX_PROGRAMS) return;
    const [oldest] = this.#byProgram.keys();
    if (oldest !== undefined) this.#byProgram.delete(oldest);
  }

  /** Returns the upstream of a program's latest turn; empty if unknown. */
  find(programId: string): string {
    return this.#byProgram.get(programId) ?? "";
  }
}
