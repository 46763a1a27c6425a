/**
 * How long a slot can stay in use after the last moment at which a request could start on it.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type ShareTiming from './ShareTiming.js';

/** Longest deadline of the configuration, or the floor if that is longer, with the margin, in milliseconds. */
export default function computeMaxHoldMs(
  configuration: Configuration,
  timing: ShareTiming,
  floorMs = 0,
): number {
  const deadlines = configuration.services.map((service) => service.deadlineMs);
  return Math.max(floorMs, ...deadlines) + timing.marginMs;
}
