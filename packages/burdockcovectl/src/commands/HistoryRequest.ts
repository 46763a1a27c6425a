/**
 * Which part of the audit trail is asked for.
 */

/** Times are milliseconds since the Unix epoch. */
interface HistoryRequest {
  /** Only what happened from then on. */
  readonly sinceMs?: number;
  /** What happened around that moment. */
  readonly atMs?: number;
  /** One change by its identifier. */
  readonly changeId?: string;
  /** Newest records shown. */
  readonly limit: number;
}

export default HistoryRequest;
