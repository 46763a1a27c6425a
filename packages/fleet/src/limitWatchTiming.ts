/**
 * Timing of the watch where the verified age of the state has limits: customers with keys and quotas.
 *
 * A response proves what the store held when it was asked, so the verified age grows over the wait of one watch, the
 * pause and the wait of the next. Short waits and pauses keep it below the time in which a revoked key must stop working,
 * the age at which an unknown key gets no 401, and the one at which owners of quotas stop granting.
 */
import type WatchTiming from './WatchTiming.js';

/** Shares of the time in which a change must be applied; followers add the interval of their reads. */
const MAX_WAIT_SHARE = 0.1;
const MAX_PAUSE_SHARE = 0.3;

/** Returns the timing with its waits and pauses cut; `maxStateAgeMs` is the time in which a change must be applied. */
export default function limitWatchTiming(
  { waitMs, pauseMs }: WatchTiming,
  maxStateAgeMs: number,
): WatchTiming {
  return {
    waitMs: Math.min(waitMs, Math.round(MAX_WAIT_SHARE * maxStateAgeMs)),
    pauseMs: Math.min(pauseMs, MAX_PAUSE_SHARE * maxStateAgeMs),
  };
}
