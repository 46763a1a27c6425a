/**
 * A line of an entry VM's log.
 */

/** One attempt of a request, as its log line tells it. */
interface LoggedAttempt {
  readonly target: string;
  readonly address: string;
  readonly ended: string;
  readonly status: number;
  readonly latencyMs: number;
}

/** Fields that are read; a line may have more. */
interface LogRecord {
  readonly time: string;
  readonly message: string;
  readonly requestId?: string;
  readonly outcome?: string;
  readonly durationMs?: number;
  readonly service?: string;
  readonly semantics?: string;
  readonly step?: string;
  readonly detail?: string;
  readonly attempts?: readonly LoggedAttempt[];
}

export default LogRecord;
