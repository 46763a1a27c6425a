/**
 * Log lines of requests that are refused before the forwarder, whose lines tell of all others.
 */
import type Logger from '@burdockcove/runtime/Logger';
import type NotRunReason from '@burdockcove/types/NotRunReason';
import type RequestFailure from '@burdockcove/types/RequestFailure';

/** Other refusals at this point are faults of callers or a planned stop, and are only counted. */
const LOGGED_REASONS: ReadonlySet<NotRunReason> = new Set(['unknown-key', 'stale-keys']);

/** Callers without a key choose their requests' ids. */
const MAX_ID_LENGTH = 128;

interface RefusedRequest {
  readonly requestId: string | undefined;
  /** Absent if the request was refused before its service's limits were read. */
  readonly service?: string;
  readonly semantics?: string;
  readonly customer?: string | undefined;
  readonly receivedAtMs: number;
}

/** Without a logger nothing is logged. No field holds a key: failures do not, and headers are not logged. */
export default class RefusalLog {
  constructor(private readonly logger?: Logger) {}

  /** Logs a refusal that concerns the key of a request; others are not logged. */
  logKeyRefusal(failure: RequestFailure, request: RefusedRequest, nowMs: number): void {
    if (failure._tag === 'NotRun' && LOGGED_REASONS.has(failure.reason)) {
      this.log(failure, request, nowMs);
    }
  }

  logQuotaRefusal(failure: RequestFailure, request: RefusedRequest, nowMs: number): void {
    if (failure._tag === 'NotRun') {
      this.log(failure, request, nowMs);
    }
  }

  /** The message names the reason, since the rate of lines is limited by message. */
  private log(
    { reason, step, peer, detail, logFields }: Extract<RequestFailure, { _tag: 'NotRun' }>,
    { receivedAtMs, requestId, ...request }: RefusedRequest,
    nowMs: number,
  ): void {
    this.logger?.warn(`request refused: ${reason}`, {
      requestId: requestId?.slice(0, MAX_ID_LENGTH),
      ...request,
      outcome: 'not-run',
      reason,
      durationMs: Math.round(nowMs - receivedAtMs),
      step,
      peer,
      detail,
      ...logFields,
    });
  }
}
