/**
 * How long an attempt may go without a byte before its target counts as silent.
 */

/** The first request for an object exceeds the target latency even at a healthy target. */
const TARGET_LATENCY_FACTOR = 2;
/** Share of the remaining time that is reserved for another target. */
const REMAINING_SHARE = 0.5;

/**
 * Returns milliseconds. `latencyLimitMs` is derived from the latency of the target's responses, `targetLatencyMs` is
 * the latency that the service aims at (0: none), and `remainingMs` is the time left until the deadline.
 */
export default function computeSilenceLimitMs(
  latencyLimitMs: number,
  targetLatencyMs: number,
  remainingMs: number,
): number {
  return Math.min(
    Math.max(latencyLimitMs, TARGET_LATENCY_FACTOR * targetLatencyMs),
    REMAINING_SHARE * remainingMs,
  );
}
