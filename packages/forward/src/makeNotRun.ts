/**
 * Failures of requests that reached no target.
 */
import type NotRunReason from '@burdockcove/types/NotRunReason';
import type RequestFailure from '@burdockcove/types/RequestFailure';

/** Creates a `NotRun` failure. Only for requests of which no byte has left this VM, so that they certainly did not run. */
export default function makeNotRun(
  reason: NotRunReason,
  step: string,
  peer: string,
  detail: string,
): Extract<RequestFailure, { _tag: 'NotRun' }> {
  return { _tag: 'NotRun', reason, step, peer, detail };
}
