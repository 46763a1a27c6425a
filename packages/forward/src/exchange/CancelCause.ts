/**
 * Why an exchange is cancelled.
 */

/** `superseded`: another attempt answered first; `silent`: so did it, and this target had been silent. */
type CancelCause = 'deadline' | 'caller-gone' | 'silent' | 'superseded' | 'body-too-large';

export default CancelCause;
