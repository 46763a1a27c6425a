/**
 * Delay on a clock.
 */
import type Clock from './Clock.js';
import type Timer from './Timer.js';
import watchAbort from './watchAbort.js';

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
    const running: { timer?: Timer; endWatch?: () => void } = {};
    const finish = (): void => {
      running.endWatch?.();
      running.timer?.cancel();
      resolve();
    };
    running.timer = clock.startTimer(delayMs, finish);
    if (signal !== undefined) {
      running.endWatch = watchAbort(signal, finish);
    }
  });
}
