/**
 * Ejects a target on the failures that this VM itself has observed.
 */

const EJECTION_FAILURES = 3;
const EJECTION_ERROR_RESPONSES = 5;
const INITIAL_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** An ejection this long after the previous one has the initial duration again. */
const EJECTION_RESET_MS = 60_000;

/** `sick` targets are ejected; `trial` targets get one request at a time to show whether they have recovered. */
type Condition = 'healthy' | 'sick' | 'trial';

/** Counts consecutive failures; an ejected target gets a trial after a time that doubles with each ejection. */
export default class OutlierDetector {
  private failures = 0;

  private errorResponses = 0;

  private ejections = 0;

  private ejectedAtMs = 0;

  private trialAtMs = 0;

  private isEjected = false;

  getCondition(nowMs: number): Condition {
    if (!this.isEjected) {
      return 'healthy';
    }
    return nowMs >= this.trialAtMs ? 'trial' : 'sick';
  }

  /** Returns the monotonic time of the last ejection in milliseconds, 0 before the first. */
  getEjectedAtMs(): number {
    return this.ejectedAtMs;
  }

  /** Returns whether this failure ejected the target. */
  recordFailure(nowMs: number): boolean {
    this.failures += 1;
    return this.update(nowMs);
  }

  /** Counts a response with a status of 500 or more; returns whether it ejected the target. */
  recordErrorResponse(nowMs: number): boolean {
    this.errorResponses += 1;
    return this.update(nowMs);
  }

  /** Returns whether the target was ejected and has recovered with this response. */
  recordSuccess(): boolean {
    const recovered = this.isEjected;
    this.failures = 0;
    this.errorResponses = 0;
    this.isEjected = false;
    return recovered;
  }

  /** Ejects the target at once, whatever the failure counts. */
  eject(nowMs: number): void {
    if (nowMs - this.ejectedAtMs > EJECTION_RESET_MS) {
      this.ejections = 0;
    }
    const durationMs = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedAtMs = nowMs;
    this.trialAtMs = nowMs + durationMs;
    this.isEjected = true;
  }

  /** Ejects the target after a failed trial or too many consecutive failures; returns whether it did. */
  private update(nowMs: number): boolean {
    const isFailing =
      this.failures >= EJECTION_FAILURES || this.errorResponses >= EJECTION_ERROR_RESPONSES;
    const hasFailedTrial = this.getCondition(nowMs) === 'trial';
    if (!hasFailedTrial && (!isFailing || this.isEjected)) {
      return false;
    }
    this.eject(nowMs);
    return true;
  }
}
