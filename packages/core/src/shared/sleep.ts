/** Helpers to wait for a time or for a promise. */

import { setTimeout as sleepFor } from "node:timers/promises";

/**
 * Waits for the given time or until the signal aborts; never throws.
 *
 * @example
 * ```ts
 * await sleep(100, controller.signal);
 * ```
 */
export async function sleep(
  milliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted) return;
  await sleepFor(milliseconds, undefined, { signal }).catch(() => undefined);
}

/** A promise with its resolver, to pass a value from one task to another. */
export interface Deferred<T> {
  readonly promise: Promise<T>;
  resolve(value: T): void;
}

/** Creates a {@linkcode Deferred}. */
export function createDeferred<T>(): Deferred<T> {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

/**
 * Waits for a promise with a timeout; rejects if the promise rejects first.
 *
 * @returns the value, or undefined on a timeout
 */
export async function waitWithTimeout<T>(
  promise: Promise<T>,
  milliseconds: number,
): Promise<T | undefined> {
  const timeout = createDeferred<undefined>();
  const timer = setTimeout(() => timeout.resolve(undefined), milliseconds);
  try {
    return await Promise.race([promise, timeout.promise]);
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Reason for aborting a controller. Without a reason each abort creates an error
 * with a stack trace, which is too expensive for every call.
 */
export const ABORTED = "aborted";
