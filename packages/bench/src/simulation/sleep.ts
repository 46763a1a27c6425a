/**
 * Waiting in virtual time.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Resolves after the delay in milliseconds; cheaper than `waitFor`, since nothing can end it early. */
export default function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(delayMs, resolve);
  });
}
