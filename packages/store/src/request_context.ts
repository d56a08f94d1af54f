/** What a store knows about a request besides its content. */
export interface RequestContext {
  /** Aborts when the caller has given up. */
  readonly signal: AbortSignal;
  /** How long the request was under way before it was read, ms. */
  readonly ageMilliseconds: number;
  /** When the caller stops to wait, by the local monotonic clock, ms. */
  readonly deadlineAt: number;
}
