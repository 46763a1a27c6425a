/**
 * What a cold target of a service can handle.
 */

/** For all entry VMs together. */
interface ColdLimits {
  /** Requests a second. */
  readonly ratePerS: number;
  /** Requests in a single second. */
  readonly burst: number;
}

export default ColdLimits;
