/**
 * Computes the longest acceptable wait for a slot; beyond it, the request is refused so that the caller can retry later.
 */
import type ChoiceRequest from '../ChoiceRequest.js';

/** Returns milliseconds; `nowMs` is monotonic. */
export default function computeMaxWaitMs(
  { service, deadlineAtMs }: ChoiceRequest,
  nowMs: number,
): number {
  const remainingMs = deadlineAtMs - nowMs;
  return Math.min(remainingMs / 2, service.targetLatencyMs ?? remainingMs);
}
