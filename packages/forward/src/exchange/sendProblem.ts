/**
 * Error responses of burdockcove itself.
 */
import type { ServerResponse } from 'node:http';
import type NotRunReason from '@burdockcove/types/NotRunReason';
import type RequestFailure from '@burdockcove/types/RequestFailure';

const DEFAULT_RETRY_AFTER_MS = 1000;
const MS_PER_SECOND = 1000;
const UNAVAILABLE_STATUS = 503;
const TIMEOUT_STATUS = 504;
const BAD_GATEWAY_STATUS = 502;
const BAD_REQUEST_STATUS = 400;
const UNAUTHORIZED_STATUS = 401;
const STATUSES: Partial<Record<NotRunReason, number>> = {
  malformed: BAD_REQUEST_STATUS,
  'unknown-service': 404,
  'body-too-large': 413,
  'service-limit': 429,
  'member-limit': 429,
  deadline: TIMEOUT_STATUS,
  'unknown-key': UNAUTHORIZED_STATUS,
  quota: 429,
};

/** Statuses with which the same request is refused again. */
const PERMANENT_STATUSES: ReadonlySet<number> = new Set([BAD_REQUEST_STATUS, UNAUTHORIZED_STATUS]);

function getStatus(failure: RequestFailure): number {
  if (failure._tag === 'Unknown') {
    return failure.timedOut ? TIMEOUT_STATUS : BAD_GATEWAY_STATUS;
  }
  return STATUSES[failure.reason] ?? UNAVAILABLE_STATUS;
}

/** Sends the failure as RFC 9457 `application/problem+json`; `status` overrides the default one. */
export default function sendProblem(
  response: ServerResponse,
  failure: RequestFailure,
  status = getStatus(failure),
): void {
  const outcome = failure._tag === 'NotRun' ? 'not-run' : 'unknown';
  const reason = failure._tag === 'NotRun' ? failure.reason : 'unknown-outcome';
  const body = JSON.stringify({
    type: `urn:burdockcove:problem:${reason}`,
    title: reason,
    status,
    detail: failure.detail,
    step: failure.step,
    peer: failure.peer,
  });
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/problem+json',
    'Content-Length': Buffer.byteLength(body),
    'burdockcove-outcome': outcome,
  };
  if (failure._tag === 'NotRun' && !PERMANENT_STATUSES.has(status)) {
    headers['Retry-After'] = String(
      (failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / MS_PER_SECOND,
    );
  }
  if (status === UNAUTHORIZED_STATUS) {
    headers['WWW-Authenticate'] = 'ApiKey';
  }
  response.writeHead(status, headers);
  response.end(body);
}
