/**
 * What came of one schedule of faults.
 */
import type FaultKind from './FaultKind.js';

/** Counts are zero where the invariants held. */
interface ScheduleResult {
  /** Requests started beyond a target's slots. */
  readonly exceeded: number;
  /** Requests started beyond a region's limit. */
  readonly regionExceeded: number;
  /** Largest share of the traffic that moved within one window, 0 to 1. */
  readonly largestMove: number;
  /** Slots that nobody owns after the fleet was left to recover. */
  readonly unownedAtEnd: number;
  /** Children that failed, in words. */
  readonly failures: readonly string[];
  readonly served: number;
  readonly injected: readonly FaultKind[];
}

export default ScheduleResult;
