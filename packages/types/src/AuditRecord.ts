/**
 * One entry of the audit trail.
 */

/** A change by an operator, or a decision of the system's own. */
type AuditRecord =
  | {
      readonly _tag: 'OperatorChange';
      readonly at: string;
      readonly operator: string;
      readonly reason: string;
      readonly changeId: string;
      readonly baseRevision: number;
      readonly revision: number;
      /** What changed, one line each. */
      readonly changes: readonly string[];
    }
  | {
      readonly _tag: 'Decision';
      readonly at: string;
      /** `IP:PORT` of the entry VM that decided. */
      readonly by: string;
      readonly what: string;
      readonly evidence: string;
      readonly revision: number;
      readonly epoch: number;
      readonly expected: string;
      /** What came of it, empty until known. */
      readonly outcome: string;
    };

export default AuditRecord;
