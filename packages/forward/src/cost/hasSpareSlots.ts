/**
 * Whether a target has so many free slots that one more request makes no other wait.
 */
import type RankedTarget from '../affinity/RankedTarget.js';

/** Share of the slots in use up to which no request waits even if the estimate is too low by a factor of two. */
const MAX_OCCUPANCY = 0.5;

/** True where no work is learned. */
export default function hasSpareSlots({ forecast }: Pick<RankedTarget, 'forecast'>): boolean {
  return forecast === undefined || forecast.occupancy < MAX_OCCUPANCY;
}
