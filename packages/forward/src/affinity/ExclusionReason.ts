/**
 * Why a target gets no part in a choice, or why a target that was compared does not get the request now.
 */

/**
 * Excluded before targets are compared: `leaving` by its entry in the store, `leaving-notice` by its own word, `pause`
 * at its own request.
 *
 * Excluded after: `not-in-time` where the response is expected after the timeout, `less-urgent` where few slots are
 * free and more urgent requests have lately not ended in time, `cold` where the rate of a cold or unconfirmed target leaves no room, `not-preferred` where the request
 * would be a first visit, for which other targets than the first one are used only after a wait, if at all.
 */
type ExclusionReason =
  | 'leaving'
  | 'leaving-notice'
  | 'evacuated'
  | 'region-not-allowed'
  | 'failure-backoff'
  | 'pause'
  | 'wait-too-long'
  | 'not-in-time'
  | 'less-urgent'
  | 'shed-backoff'
  | 'concurrency-limit'
  | 'not-preferred'
  | 'cold';

export default ExclusionReason;
