/**
 * Longest time a slot can stay in use after the last request started on it.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type ShareTiming from './ShareTiming.js';

/**
 * Returns the longest configured deadline, or `floorMs` if that is longer, plus the safety margin,
 * in milliseconds.
 */
export default function computeMaxHoldMs(
  configuration: Configuration,
  timing: ShareTiming,
  floorMs = 0,
): number {
  const deadlines = configuration.services.map((service) => service.deadlineMs);
  return Math.max(floorMs, ...deadlines) + timing.marginMs;
}
