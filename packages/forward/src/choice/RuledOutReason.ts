/**
 * Why a target gets no request now.
 */

/** The first of these that holds is given. */
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
