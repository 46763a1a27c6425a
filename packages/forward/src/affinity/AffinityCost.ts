/**
 * The expected time of a request at a target: its way there, its wait for a slot, and its work, which is shorter where
 * the target has lately handled the object.
 */

/** What is known of one target for one request. */
interface Candidate {
  /** Place in the object's ranking, from 0. */
  readonly rank: number;
  /** Whether the target has lately handled the object for this VM. */
  readonly isWarm: boolean;
  readonly slots: number;
  /** Requests at the target now. */
  readonly inFlight: number;
  /** How much longer than usual the target takes, 1 or more. */
  readonly slowness: number;
  readonly roundTripMs: number;
}

/** Work of a first visit, relative to one whose object the target has lately handled. */
const FIRST_VISIT_FACTOR = 3.2;
/** Others may have sent the object to its first target, or to its second. */
const LIKELY_WARM_FACTORS: readonly number[] = [1.2, 2.4];

/** Work relative to that for an object which the target has lately handled. */
export function getWorkFactor({ isWarm, rank }: Pick<Candidate, 'isWarm' | 'rank'>): number {
  return isWarm ? 1 : (LIKELY_WARM_FACTORS[rank] ?? FIRST_VISIT_FACTOR);
}

/** Wait for a slot, in milliseconds. */
export function computeWaitMs(candidate: Candidate, usualMs: number): number {
  const ahead = Math.max(0, candidate.inFlight + 1 - candidate.slots);
  return (ahead * usualMs * candidate.slowness) / Math.max(1, candidate.slots);
}

/** Milliseconds until the answer; `usualMs` is the usual time of the service. */
export default function computeCostMs(candidate: Candidate, usualMs: number): number {
  const workMs = usualMs * candidate.slowness * getWorkFactor(candidate);
  return candidate.roundTripMs + computeWaitMs(candidate, usualMs) + workMs;
}
