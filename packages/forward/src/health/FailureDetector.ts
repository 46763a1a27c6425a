/**
 * Ejection of a target on this VM's own evidence.
 */

const FAILURES_IN_ROW = 3;
const ERROR_ANSWERS_IN_ROW = 5;
const FIRST_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** Without a new ejection for this long, the next one is short again. */
const FORGET_MS = 60_000;

/** `sick` targets wait; `trial` ones get one request at a time. */
type Condition = 'healthy' | 'sick' | 'trial';

/** Counts failures in a row; a sick target gets a trial after a time that doubles. */
export default class FailureDetector {
  private failures = 0;

  private errorAnswers = 0;

  private ejections = 0;

  private sickSinceMs = 0;

  private trialAtMs = 0;

  private isSick = false;

  getCondition(nowMs: number): Condition {
    if (!this.isSick) {
      return 'healthy';
    }
    return nowMs >= this.trialAtMs ? 'trial' : 'sick';
  }

  /** Monotonic time of the last ejection in milliseconds. */
  getSickSinceMs(): number {
    return this.sickSinceMs;
  }

  /** Returns true where this result made the target sick. */
  recordFailure(nowMs: number): boolean {
    this.failures += 1;
    return this.update(nowMs);
  }

  /** Counts an answer with a status of 500 or more. */
  recordErrorAnswer(nowMs: number): boolean {
    this.errorAnswers += 1;
    return this.update(nowMs);
  }

  /** Returns true where the target was sick and has recovered by this answer. */
  recordSuccess(): boolean {
    const recovered = this.isSick;
    this.failures = 0;
    this.errorAnswers = 0;
    this.isSick = false;
    return recovered;
  }

  /** Makes the target sick at once, for evidence gathered elsewhere. */
  markSick(nowMs: number): void {
    if (nowMs - this.sickSinceMs > FORGET_MS) {
      this.ejections = 0;
    }
    const lengthMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.sickSinceMs = nowMs;
    this.trialAtMs = nowMs + lengthMs;
    this.isSick = true;
  }

  private update(nowMs: number): boolean {
    const failing = this.failures >= FAILURES_IN_ROW || this.errorAnswers >= ERROR_ANSWERS_IN_ROW;
    const failedTrial = this.getCondition(nowMs) === 'trial';
    if (!failedTrial && (!failing || this.isSick)) {
      return false;
    }
    this.markSick(nowMs);
    return true;
  }
}
