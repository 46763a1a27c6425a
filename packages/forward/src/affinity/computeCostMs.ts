/**
 * The expected time of a request at a target: its way there, its wait for a slot, and its work, which is shorter where
 * the target has lately handled the object.
 */
import type Candidate from './Candidate.js';
import computeWaitMs from './computeWaitMs.js';
import computeWorkFactor from './computeWorkFactor.js';

/** Milliseconds until the answer; `usualMs` is the usual time of such requests. */
export default function computeCostMs(candidate: Candidate, usualMs: number): number {
  const workMs = usualMs * candidate.slowness * computeWorkFactor(candidate);
  return candidate.roundTripMs + computeWaitMs(candidate, usualMs) + workMs;
}
