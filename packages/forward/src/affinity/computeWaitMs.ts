/**
 * The expected wait of a request for a slot at a target.
 */
import type Candidate from './Candidate.js';

/** Milliseconds; `usualMs` is the usual time of such requests. */
export default function computeWaitMs(
  { inFlight, slots, slowness }: Pick<Candidate, 'inFlight' | 'slots' | 'slowness'>,
  usualMs: number,
): number {
  const ahead = Math.max(0, inFlight + 1 - slots);
  return (ahead * usualMs * slowness) / Math.max(1, slots);
}
