/**
 * Whether an operation may be sent more than once.
 */

/** `repeatable` operations may be retried; `at-most-once` operations may not. */
type OperationSemantics = 'repeatable' | 'at-most-once';

export default OperationSemantics;
