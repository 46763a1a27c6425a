/**
 * The refusal of requests that this entry VM does not start any more, because it stops.
 */
import type RequestFailure from '@burdockcove/types/RequestFailure';
import makeNotRun from '../makeNotRun.js';

/** Short, because another entry VM can handle the request at once. */
const RETRY_MS = 100;

/** Returns a `NotRun` failure with the time after which its caller may try again. */
export default function makeStopRefusal(
  step: string,
  peer: string,
  detail: string,
): RequestFailure {
  return { ...makeNotRun('stopping', step, peer, detail), retryAfterMs: RETRY_MS };
}
