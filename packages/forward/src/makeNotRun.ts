/**
 * Refusals before any target was reached.
 */
import type NotRunReason from '@burdockcove/types/NotRunReason';
import type RequestFailure from '@burdockcove/types/RequestFailure';

/** A proven `NotRun`: nothing of the request has left this VM. */
export default function makeNotRun(
  reason: NotRunReason,
  step: string,
  peer: string,
  detail: string,
): Extract<RequestFailure, { _tag: 'NotRun' }> {
  return { _tag: 'NotRun', reason, step, peer, detail };
}
