/**
 * Computes the chance that work takes longer than the time that is left for it.
 */

/** Scale at which the logistic distribution is close to the normal one. */
const LOGISTIC_SCALE = 1.702;
/** Uncertainty of an expected wait, as a share of it. */
const WAIT_UNCERTAINTY = 0.5;

interface UncertainWork {
  /** Usual time of the work, in milliseconds. */
  readonly workMs: number;
  /** Standard deviation of its logarithm. */
  readonly spread: number;
  /** Expected wait before the work, in milliseconds. */
  readonly waitMs: number;
}

/** `leftMs` is the time from now to the latency goal without the round trip, in milliseconds. Returns 0 to 1. */
export default function computeMissChance(
  { workMs, spread, waitMs }: UncertainWork,
  leftMs: number,
): number {
  const slackMs = leftMs - waitMs;
  if (slackMs <= 0) {
    return 1;
  }
  const waitSpread = (WAIT_UNCERTAINTY * waitMs) / Math.max(slackMs, workMs);
  const totalSpread = Math.hypot(spread, waitSpread);
  return 1 / (1 + Math.exp((LOGISTIC_SCALE * Math.log(slackMs / workMs)) / totalSpread));
}
