/**
 * Decisions written to the store together.
 */
import type AuditRecord from '@burdockcove/types/AuditRecord';

/** Value of one slot of the ring. */
interface AuditBatch {
  readonly version: 1;
  /** Unique to the batch, so that one written twice is read once. */
  readonly id: string;
  /** Grows by one with each batch written. */
  readonly sequence: number;
  readonly records: readonly AuditRecord[];
}

export default AuditBatch;
