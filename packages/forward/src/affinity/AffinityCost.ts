/**
 * The expected time of a request at a target: its way there, its wait for a slot, and its work, which is shorter where
 * the target has lately handled the object.
 */

/** What is known of one target for one request. */
interface Candidate {
  /** Place in the object's ranking, from 0. */
  readonly rank: number;
  readonly slots: number;
  /** Requests at the target now. */
  readonly inFlight: number;
  /** How much longer than usual the target takes, 1 or more. */
  readonly slowness: number;
  readonly roundTripMs: number;
}

/** Work of a first visit, relative to one whose object the target has lately handled. */
const FIRST_VISIT_FACTOR = 6;
/** The second target of an object is warm for it now and then. */
const SECOND_FACTOR = 5;

function getWorkFactor(rank: number): number {
  if (rank === 0) {
    return 1;
  }
  return rank === 1 ? SECOND_FACTOR : FIRST_VISIT_FACTOR;
}

/** Wait for a slot, in milliseconds. */
export function computeWaitMs(candidate: Candidate, usualMs: number): number {
  const ahead = Math.max(0, candidate.inFlight + 1 - candidate.slots);
  return (ahead * usualMs * candidate.slowness) / Math.max(1, candidate.slots);
}

/** Milliseconds until the answer; `usualMs` is the usual time of the service. */
export default function computeCostMs(candidate: Candidate, usualMs: number): number {
  const workMs = usualMs * candidate.slowness * getWorkFactor(candidate.rank);
  return candidate.roundTripMs + computeWaitMs(candidate, usualMs) + workMs;
}
