/**
 * Waiting time that allows for clock drift between machines.
 */
import type ShareTiming from './ShareTiming.js';

/** Returns the milliseconds after which `durationMs` has elapsed on every VM's clock. */
export default function computeDriftSafeWaitMs(durationMs: number, timing: ShareTiming): number {
  return durationMs * (1 + 2 * timing.clockDriftRatio) + timing.marginMs;
}
