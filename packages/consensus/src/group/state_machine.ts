/** What a group replicates. */

/** Deterministic state that the log of a group drives. */
export interface StateMachine {
  /** Applies a committed command and returns the result for its proposer. */
  apply(command: unknown, index: number): unknown;
  /**
   * Serializes the state as it is at the call, in parts that are written one
   * after the other. They may be made as they are asked for, while commands are
   * applied in between; none should take more than a few ms. A part may be
   * memory of the state itself, as long as it never changes.
   */
  takeSnapshot(): Iterable<Uint8Array>;
  /** Replaces the state by a serialized one; an empty one is the first state. */
  restore(snapshot: Uint8Array): void;
}

/** Told when a replica starts or stops to lead a group. */
export interface LeadershipListener {
  /** The replica leads in this term, and its state is up to date. */
  onLeading(term: number): void;
  /** The replica no longer leads. */
  onFollowing(): void;
}
