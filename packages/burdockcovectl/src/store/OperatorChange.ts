/**
 * The audit record of an operator's change.
 */
import type AuditRecord from '@burdockcove/types/AuditRecord';

/** Written in the same transaction as the configuration that it made. */
type OperatorChange = Extract<AuditRecord, { readonly _tag: 'OperatorChange' }>;

export default OperatorChange;
