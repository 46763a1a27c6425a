/**
 * Corrects the expected chance that requests of one kind end before their timeout by how many did.
 *
 * Few of the errors of the estimates show elsewhere: a full target and a slow one answer little, so what is heard comes
 * from the others.
 */

/** Time in which the weight of a result falls to a third, so that a load that ends is not assumed for long. */
const AVERAGING_MS = 2000;
/** Results at which the correction is half of what they show. */
const HALF_TRUST_RESULTS = 2;

/** Chances are 0 to 1; times are monotonic, in milliseconds. */
export default class EndChanceCorrection {
  private expected = 0;

  private ended = 0;

  private recordedAtMs = -Infinity;

  /** Records the result of a request that was expected to end in time with the given chance. */
  record(chance: number, hasEnded: boolean, nowMs: number): void {
    const kept = this.computeKept(nowMs);
    this.expected = kept * this.expected + chance;
    this.ended = kept * this.ended + (hasEnded ? 1 : 0);
    this.recordedAtMs = nowMs;
  }

  /** Returns the factor on an expected chance, above 0 and at most 1. */
  estimateFactor(nowMs: number): number {
    const kept = this.computeKept(nowMs);
    const factor =
      (kept * this.ended + HALF_TRUST_RESULTS) / (kept * this.expected + HALF_TRUST_RESULTS);
    return Math.min(1, factor);
  }

  private computeKept(nowMs: number): number {
    return Math.exp((this.recordedAtMs - nowMs) / AVERAGING_MS);
  }
}
