/**
 * Options of the estimates of request cost.
 */

/** Times are in milliseconds. */
interface EstimatorOptions {
  /** Returns the round-trip time to the region. */
  readonly getRoundTripMs: (region: string) => number;
  /** Returns the round-trip time for estimates from learned work; absent: as for the others. */
  readonly getTypicalRoundTripMs?: (region: string) => number;
  /** Whether work is learned; absent: where targets report the pace of their machines. */
  readonly learnsWork?: boolean;
  /** Records expected over actual time until a response. */
  readonly recordEstimate?: (service: string, ratio: number) => void;
}

export default EstimatorOptions;
