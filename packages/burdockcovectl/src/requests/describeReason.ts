/**
 * Reasons for which targets do not get a request, in words.
 */

const WORDS: Readonly<Record<string, string>> = {
  leaving: 'its entry in the store says that it is leaving',
  'leaving-notice': 'it said itself that it is leaving',
  evacuated: 'its failure domain is evacuated',
  'region-not-allowed': 'its region is not allowed',
  'failure-backoff': 'backoff after a failure',
  pause: 'it asked for a pause',
  'wait-too-long': 'the wait is too long',
  'not-in-time': 'the response is expected after the timeout',
  'less-urgent': 'more urgent requests have lately not ended in time, and few slots are free there',
  'shed-backoff': 'it has just shed a request',
  'concurrency-limit': 'the concurrency limit is reached',
  'not-preferred': 'a first visit, for which the first target is preferred',
  cold: 'cold or unconfirmed, and its rate is used up',
};

/** A reason that a newer entry VM knows stays as it is. */
export default function describeReason(reason: string): string {
  return WORDS[reason] ?? reason;
}
