/**
 * What the head of a target's response says about the request.
 */

/**
 * `not-run` (the target refused the request) and `misdirected` (it is not the intended target) require that the target
 * states so. `foreign` is a response to another request. Any other response is `answered`, whatever its status.
 */
type ResponseMeaning = 'answered' | 'not-run' | 'misdirected' | 'foreign';

export default ResponseMeaning;
