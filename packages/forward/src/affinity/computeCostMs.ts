/**
 * Computes the expected time of a request at a target: the round trip, the wait for a slot, and the processing, which
 * is shorter where the target has recently handled the object.
 */
import type Candidate from './Candidate.js';
import computeWaitMs from './computeWaitMs.js';
import computeWorkFactor from './computeWorkFactor.js';

/** Returns the milliseconds until the response; `meanLatencyMs` is the mean latency of similar requests. */
export default function computeCostMs(candidate: Candidate, meanLatencyMs: number): number {
  const workMs = meanLatencyMs * candidate.slowdown * computeWorkFactor(candidate);
  return candidate.roundTripMs + computeWaitMs(candidate, meanLatencyMs) + workMs;
}
