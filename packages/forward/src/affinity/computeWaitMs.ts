/**
 * Computes the expected wait of a request for a slot at a target.
 */
import type Candidate from './Candidate.js';

/** Returns milliseconds; `meanLatencyMs` is the mean latency of similar requests. */
export default function computeWaitMs(
  { inFlight, slots, slowdown }: Pick<Candidate, 'inFlight' | 'slots' | 'slowdown'>,
  meanLatencyMs: number,
): number {
  const queuePosition = Math.max(0, inFlight + 1 - slots);
  return (queuePosition * meanLatencyMs * slowdown) / Math.max(1, slots);
}
