/**
 * Time until a change is known to the last VM, in virtual time.
 */
import type FakeClock from '@burdockcove/runtime/FakeClock';

const STEP_MS = 20;

/** Milliseconds until the condition holds, or the limit where it does not hold by then. */
export default async function measurePropagation(
  clock: FakeClock,
  hasArrived: () => boolean,
  limitMs: number,
): Promise<number> {
  const startMs = clock.getMonotonicMs();
  while (!hasArrived() && clock.getMonotonicMs() - startMs < limitMs) {
    await clock.advance(STEP_MS);
  }
  return clock.getMonotonicMs() - startMs;
}
