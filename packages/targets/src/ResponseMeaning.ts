/**
 * What the head of a target's answer says about the request.
 */

/**
 * `not-run` and `misdirected` only on the target's own word: it refused the request, or it is not the target that
 * was meant. `foreign` belongs to another request. Anything else is the target's answer, whatever its status.
 */
type ResponseMeaning = 'answered' | 'not-run' | 'misdirected' | 'foreign';

export default ResponseMeaning;
