/**
 * Waiting on a clock.
 */
import type Clock from './Clock.js';

/** Resolves after the delay in milliseconds, or at once when the signal is aborted. */
export default function waitFor(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const ended = new AbortController();
    const finish = (): void => {
      ended.abort();
      resolve();
    };
    const timer = clock.startTimer(delayMs, finish);
    const stop = (): void => {
      timer.cancel();
      finish();
    };
    signal?.addEventListener('abort', stop, { once: true, signal: ended.signal });
  });
}
