/**
 * Interfaces of the replicated state machine and of the leadership listener.
 */

/**
 * Deterministic state machine to which the committed commands of a group are
 * applied.
 */
export interface StateMachine {
  /** Applies a committed command and returns the result for its proposer. */
  apply(command: unknown, index: number): unknown;
  /**
   * Serializes the state as of this call, in chunks that are written in order.
   * A chunk may be created lazily, while further commands are applied between
   * chunks; none should take more than a few ms. A chunk may share memory with
   * the state as long as that memory never changes.
   */
  takeSnapshot(): Iterable<Uint8Array>;
  /**
   * Replaces the state by a serialized one; an empty one stands for the initial
   * state.
   */
  restore(snapshot: Uint8Array): void;
}

/** Notified when a replica starts or stops leading a group. */
export interface LeadershipListener {
  /** Called when the replica leads in this term and its state is up to date. */
  onLeading(term: number): void;
  /** Called when the replica no longer leads. */
  onFollowing(): void;
}
