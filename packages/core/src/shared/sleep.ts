/** Waiting helpers. */

import { setTimeout as sleepFor } from "node:timers/promises";

/**
 * Waits until the time has passed or the signal aborts; never throws.
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

/** A promise with its resolver, for hand-over between two tasks. */
export interface Deferred<T> {
  readonly promise: Promise<T>;
  resolve(value: T): void;
}

/** Makes a {@linkcode Deferred}. */
export function createDeferred<T>(): Deferred<T> {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

/**
 * Waits for a promise, but no longer than the limit.
 *
 * @returns the value, or undefined when the limit passed first
 */
export async function waitAtMost<T>(
  promise: Promise<T>,
  milliseconds: number,
): Promise<T | undefined> {
  const timer = createDeferred<undefined>();
  const handle = setTimeout(() => timer.resolve(undefined), milliseconds);
  try {
    return await Promise.race([promise, timer.promise]);
  } finally {
    clearTimeout(handle);
  }
}

/**
 * Reason to abort a controller with. Without one, each abort makes an error
 * with a stack, which is dear on the path of every call.
 */
export const ABORTED = "aborted";
