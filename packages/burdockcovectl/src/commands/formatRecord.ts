/**
 * Audit records for reading.
 */
import type AuditRecord from '@burdockcove/types/AuditRecord';

/** A head line, then details set in. */
export default function formatRecord(record: AuditRecord): readonly string[] {
  if (record._tag === 'OperatorChange') {
    const { at, operator, revision, baseRevision, reason, changes } = record;
    return [
      `${at} revision ${revision} (on ${baseRevision}) by ${operator}: ${reason}`,
      ...changes.map((change) => `  ${change}`),
    ];
  }
  const { at, by, what, evidence, revision, epoch, expected, outcome } = record;
  return [
    `${at} ${by} decided: ${what}`,
    `  evidence: ${evidence}`,
    `  under revision ${revision}, epoch ${epoch}`,
    ...(expected === '' ? [] : [`  expected: ${expected}`]),
    ...(outcome === '' ? [] : [`  outcome: ${outcome}`]),
  ];
}
