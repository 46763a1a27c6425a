/**
 * Pace at which every entry VM reads changes from the store.
 *
 * A watch that is renewed at once makes a call for each change and VM, so that a fleet's calls grow with VMs times
 * changes. With a pause, one call returns all changes since the last one, and calls grow with time instead.
 */

/** Share of the time in which a change must be applied; the rest is for the call itself and a busy VM. */
const PAUSE_SHARE = 0.35;
/** Pause before the first configuration, when no request can be served yet. */
const STARTING_PAUSE_MS = 120;

/** Returns milliseconds; `maxStateAgeMs` is the time within which a change must be applied. */
export default function computeWatchPauseMs(maxStateAgeMs: number, isStarting: boolean): number {
  const pauseMs = PAUSE_SHARE * maxStateAgeMs;
  return isStarting ? Math.min(STARTING_PAUSE_MS, pauseMs) : pauseMs;
}
