/**
 * Whether the load report of a response shows free slots at the target.
 */
import type AttemptResult from './AttemptResult.js';

/** False if the response had no load report. */
export default function hasFreeSlots({ load }: Pick<AttemptResult, 'load'>): boolean {
  return load !== undefined && load.inFlight < load.slots;
}
