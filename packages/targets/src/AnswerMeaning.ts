/**
 * What the head of a target's answer says about the request.
 */

/** `not-run` only on the target's own word; anything else is the target's answer, whatever its status. */
type AnswerMeaning = 'answered' | 'not-run';

export default AnswerMeaning;
