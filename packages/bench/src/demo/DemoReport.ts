/**
 * What a run of the demo saw.
 */
import type RunTally from '@burdockcove/standins/traffic/RunTally';

/** Printed as a table or as one JSON line. */
interface DemoReport extends RunTally {
  readonly deployment: string;
  readonly entryVms: number;
  readonly targets: number;
  readonly seconds: number;
  readonly requests: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Largest step of the shift, as a share of the selector's traffic, and its cap. */
  readonly shiftLargestStep: number;
  readonly shiftCap: number;
  readonly shiftPosition: number;
  /** Time until the drained target had got its last new request, in milliseconds. */
  readonly drainMs: number;
  /** Requests that were neither answered nor refused while one entry VM made its planned stop. */
  readonly cutByPlannedStop: number;
  /** Largest number of requests at once at any target, above its slots. */
  readonly slotsExceeded: number;
  /** Share of requests answered in the last seconds before and after a region was lost. */
  readonly answeredBeforeLoss: number;
  readonly answeredAfterLoss: number;
  /** Share of requests answered while the store was down. */
  readonly answeredInOutage: number;
  /** What the operator was told about a change during the outage. */
  readonly changeInOutage: string;
  /** Time from the accepted change after the outage until every entry VM had it, in milliseconds. */
  readonly inForceMs: number;
  readonly storeCallsPerSecond: number;
}

export default DemoReport;
