/**
 * Whether a target reported free slots with its answer.
 */
import type AttemptResult from './AttemptResult.js';

/** False where it reported no load. */
export default function hasFreeSlots({ load }: Pick<AttemptResult, 'load'>): boolean {
  return load !== undefined && load.inFlight < load.slots;
}
