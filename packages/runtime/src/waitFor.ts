/**
 * Delay on a clock.
 */
import type Clock from './Clock.js';
import type Timer from './Timer.js';

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
    const running: { timer?: Timer } = {};
    const finish = (): void => {
      // The listener's `signal` option would leave listeners accumulating on long-lived signals.
      signal?.removeEventListener('abort', finish);
      running.timer?.cancel();
      resolve();
    };
    running.timer = clock.startTimer(delayMs, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
