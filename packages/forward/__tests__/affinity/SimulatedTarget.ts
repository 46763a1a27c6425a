/**
 * A simulated target of a service.
 */
import NO_NOTICE from '@burdockcove/targets/NO_NOTICE';
import type TargetNotice from '@burdockcove/targets/TargetNotice';
import type Target from '@burdockcove/types/Target';

/** Counts requests and the slots that they hold. */
export default class SimulatedTarget {
  /** Monotonic times at which requests arrived. */
  readonly arrivedAtMs: number[] = [];

  inFlight = 0;

  peakInFlight = 0;

  /** What it says with each response. */
  notice: TargetNotice = NO_NOTICE;

  /** Monotonic time of its first response that says that it leaves. */
  saidLeavingAtMs = Infinity;

  /** Whether it sheds every request. */
  isShedding = false;

  constructor(readonly target: Target) {}

  /** Records the arrival of a request; returns the milliseconds that it waits for a slot. */
  addRequest(nowMs: number, serviceMs: number): number {
    this.arrivedAtMs.push(nowMs);
    this.inFlight += 1;
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
    const { slots } = this.target;
    return Math.max(0, this.inFlight - slots) * (serviceMs / slots);
  }

  /** Records a response; returns what the target says with it. */
  respond(nowMs: number): TargetNotice {
    this.inFlight -= 1;
    if (this.notice.isLeaving) {
      this.saidLeavingAtMs = Math.min(this.saidLeavingAtMs, nowMs);
    }
    return this.notice;
  }
}
