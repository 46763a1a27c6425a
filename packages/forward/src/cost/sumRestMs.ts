/**
 * Sums what the requests in flight at a target still need of its work.
 */
import type SentRequest from '../affinity/SentRequest.js';

/** Expected rest of an overdue request, as a share of the time by which it is overdue. */
const OVERDUE_REST_SHARE = 0.5;

/** Returns milliseconds. An overdue request probably needs much more work: its rest grows again. */
function estimateRestMs(sent: SentRequest, nowMs: number): number {
  const { sentAtMs, expectedDurationMs, expectedWaitMs } = sent;
  const restMs = sentAtMs + expectedWaitMs + expectedDurationMs - nowMs;
  return restMs >= 0 ? Math.min(expectedDurationMs, restMs) : -restMs * OVERDUE_REST_SHARE;
}

/** Returns milliseconds of work, zero or more; `nowMs` is monotonic. */
export default function sumRestMs(requests: Iterable<SentRequest>, nowMs: number): number {
  let sumMs = 0;
  for (const request of requests) {
    sumMs += estimateRestMs(request, nowMs);
  }
  return sumMs;
}
