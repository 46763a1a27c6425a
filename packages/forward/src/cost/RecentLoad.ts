/**
 * The requests of others at a target: by its last report, and by its recent reports once the last one is old.
 *
 * One VM of many hears from a target only every few seconds. A target that serves a popular object is busy for much longer
 * than that, and would look idle between two reports.
 */

/** Age at which the last report gives way to the recent ones. */
const LAST_REPORT_DECAY_MS = 1500;
/** Time over which reports are averaged. */
const AVERAGING_MS = 2000;
/** Age of the last report at which nothing is known any more. */
const FORGET_MS = 10_000;
/** The same where other targets of the service have reported since: a load that has ended must not be assumed for long. */
const FORGET_FOR_USUAL_MS = 6000;

/** Times are monotonic, in milliseconds. */
export default class RecentLoad {
  private last = 0;

  private average = 0;

  private reportedAtMs = -Infinity;

  record(inFlight: number, nowMs: number): void {
    const kept = Math.exp((this.reportedAtMs - nowMs) / AVERAGING_MS);
    this.average = kept * this.average + (1 - kept) * inFlight;
    this.last = inFlight;
    this.reportedAtMs = nowMs;
  }

  /** Returns the number of requests assumed now; `usual` is assumed as far as the target itself has not reported lately. */
  estimate(nowMs: number, usual = 0): number {
    const ageMs = nowMs - this.reportedAtMs;
    const forgetMs = usual > 0 ? FORGET_FOR_USUAL_MS : FORGET_MS;
    const lastWeight = Math.max(0, 1 - ageMs / LAST_REPORT_DECAY_MS);
    const averageWeight = (1 - lastWeight) * Math.max(0, 1 - ageMs / forgetMs);
    const usualWeight = 1 - lastWeight - averageWeight;
    return lastWeight * this.last + averageWeight * this.average + usualWeight * usual;
  }

  /** Forgets all reports, as after a restart of the target. */
  clear(): void {
    this.average = 0;
    this.reportedAtMs = -Infinity;
  }
}
