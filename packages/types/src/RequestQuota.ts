/**
 * How many requests of one customer may run, over all entry VMs together.
 */

/** A token bucket. */
interface RequestQuota {
  /** Requests a second. */
  readonly ratePerS: number;
  /** Requests beyond the rate that may run at once. */
  readonly burst: number;
}

export default RequestQuota;
