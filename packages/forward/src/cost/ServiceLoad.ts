/**
 * The load of a service's targets by their recent reports, assumed of a target that has not reported lately.
 *
 * One VM of many hears from each target only every few seconds, but from some target of the service many times a second.
 */

/** Time in which the weight of a report falls to a third. */
const AVERAGING_MS = 2000;
/** Age of the last report at which nothing is known any more: refused requests bring none, and the load may have ended. */
const FORGET_MS = 3000;
/** Reports at which their mean counts half; a single target says little about the others. */
const HALF_TRUST_REPORTS = 1;

/** Loads are requests of others per slot; times are monotonic, in milliseconds. */
export default class ServiceLoad {
  private sum = 0;

  private weight = 0;

  private reportedAtMs = -Infinity;

  record(load: number, nowMs: number): void {
    const kept = Math.exp((this.reportedAtMs - nowMs) / AVERAGING_MS);
    this.sum = kept * this.sum + load;
    this.weight = kept * this.weight + 1;
    this.reportedAtMs = nowMs;
  }

  /** Returns the load assumed now. */
  estimate(nowMs: number): number {
    const freshness = 1 - (nowMs - this.reportedAtMs) / FORGET_MS;
    return freshness <= 0 ? 0 : (freshness * this.sum) / (this.weight + HALF_TRUST_REPORTS);
  }
}
