/**
 * A size of the whole system with the limits that hold at it.
 */

/** Sizes are counts; limits are for one node unless they name the store. */
interface TargetSize {
  readonly nodes: number;
  readonly blocks: number;
  readonly sites: number;
  readonly regions: number;
  readonly domains: number;
  readonly lookupsPerSecond: number;
  readonly changesPerSecond: number;
  readonly changesPerDay: number;
  readonly failuresPerDay: number;
  readonly restartsPerDay: number;
  /** Share of one core that control may take. */
  readonly maxCoreShare: number;
  /** Memory that control may add, in bytes. */
  readonly maxControlBytes: number;
  /** Control traffic, in bytes a second. */
  readonly maxControlBytesPerSecond: number;
  readonly maxInForceSeconds: number;
  readonly storeWritesPerSecond: number;
  readonly storeReadsPerSecond: number;
}

export default TargetSize;
