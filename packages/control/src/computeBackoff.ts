/**
 * Delays between retries.
 */
import type Random from '@burdockcove/runtime/Random';

/** Milliseconds to wait after the given number of failures in a row: doubled each time, with half of it random. */
export default function computeBackoff(
  random: Random,
  failures: number,
  firstMs: number,
  maxMs: number,
): number {
  const fullMs = Math.min(maxMs, firstMs * 2 ** Math.min(failures, 30));
  return fullMs * (0.5 + random.nextFloat() / 2);
}
