/**
 * Timeouts of calls to peers, on the process's own clock.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Aborts the call's signal after the delay in milliseconds. */
export default async function callWithTimeout<A>(
  clock: Clock,
  timeoutMs: number,
  call: (signal: AbortSignal) => Promise<A>,
): Promise<A> {
  const abort = new AbortController();
  const timer = clock.startTimer(timeoutMs, () => abort.abort());
  try {
    return await call(abort.signal);
  } finally {
    timer.cancel();
  }
}
