/**
 * Where decisions are recorded.
 */
import type AuditRecord from './AuditRecord.js';

/** Recording never waits and never fails the caller; the implementation keeps within the store's limits. */
interface AuditSink {
  recordDecision(record: AuditRecord): void;
}

export default AuditSink;
