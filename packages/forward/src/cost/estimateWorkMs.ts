/**
 * Estimates the work of a request from the latency of its response.
 */

/** Share of the latency that counts as work at least: an expected wait that was too long must not hide the work. */
const MIN_WORK_SHARE = 0.25;
/** Limits on the correction by the pace, which is reported at the end of the work and may be wrong. */
const MIN_RATIO = 0.5;
const MAX_RATIO = 4;

/** Returns milliseconds at the usual pace, above 0; `workTimeRatio` is the pace reported with the response. */
export default function estimateWorkMs(
  latencyMs: number,
  roundTripMs: number,
  expectedWaitMs: number,
  workTimeRatio: number,
): number {
  const restMs = latencyMs - roundTripMs - expectedWaitMs;
  const workMs = Math.max(1, restMs, MIN_WORK_SHARE * latencyMs);
  return workMs / Math.min(MAX_RATIO, Math.max(MIN_RATIO, workTimeRatio));
}
