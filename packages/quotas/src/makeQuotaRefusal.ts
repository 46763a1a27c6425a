/**
 * Refusals of requests by quotas.
 */
import makeNotRun from '@burdockcove/forward/makeNotRun';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type QuotaRefusalBasis from './QuotaRefusalBasis.js';

const STEP = 'take from the quota';
/** When a caller may come back if no owner answered. */
const UNANSWERED_RETRY_MS = 250;
const DETAILS = {
  denied: 'the quota is used up',
  late: 'the owner of the quota did not answer in time',
  unanswered: 'the owner of the quota could not be asked',
  crowded: 'too many requests wait for the owner of the quota',
};

/** `denied`: the customer is over its quota; otherwise that is not known, since no owner answered in time. */
export default function makeQuotaRefusal(
  customer: string,
  { cause, owners }: QuotaRefusalBasis,
  waitMs: number,
): RequestFailure {
  const isDenied = cause === 'denied';
  const logFields = { portion: isDenied ? 'denied' : 'unanswered', cause, owners };
  const failure = makeNotRun(isDenied ? 'quota' : 'not-ready', STEP, customer, DETAILS[cause]);
  const retryAfterMs = Math.max(isDenied ? 0 : UNANSWERED_RETRY_MS, Math.ceil(waitMs));
  return { ...failure, retryAfterMs, logFields };
}
