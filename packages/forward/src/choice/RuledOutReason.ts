/**
 * Why a target may not receive a request now.
 */

/** If several reasons apply, the first one that the evaluation finds is reported. */
type RuledOutReason =
  | 'leaving'
  | 'draining'
  | 'ejected'
  | 'no-slot'
  | 'unasked'
  | 'on-trial'
  | 'shed-lately'
  | 'slow-start'
  | 'tried'
  | 'link-full';

export default RuledOutReason;
