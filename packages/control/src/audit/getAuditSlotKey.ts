/**
 * Keys of the audit ring.
 */

/** Batches kept; older ones are overwritten. */
const AUDIT_SLOTS = 256;
const SLOT_DIGITS = 6;

/** The key of the slot for the batch with that sequence number. */
export default function getAuditSlotKey(sequence: number): string {
  return `audit/${String(sequence % AUDIT_SLOTS).padStart(SLOT_DIGITS, '0')}`;
}
