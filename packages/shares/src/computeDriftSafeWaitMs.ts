/**
 * Waiting for a time that another machine measures.
 */
import type ShareTiming from './ShareTiming.js';

/** Milliseconds after which `durationMs` has passed on every clock of the fleet. */
export default function computeDriftSafeWaitMs(durationMs: number, timing: ShareTiming): number {
  return durationMs * (1 + 2 * timing.clockDriftRatio) + timing.marginMs;
}
