/**
 * A customer, whose requests carry one of its keys.
 */
import type RequestQuota from './RequestQuota.js';

/** Keys are kept elsewhere, as digests. */
interface Customer {
  readonly name: string;
  /** Rank of its requests, 0 the most urgent, in place of the service's; absent: the service's applies. */
  readonly priority?: number;
  /** Regions whose targets may serve its requests, beside the service's own limit; all regions if empty. */
  readonly homeRegions: readonly string[];
  /** Its home regions could not be read, so that no target may serve its requests. */
  readonly hasUnreadableRegions?: boolean;
  /** Absent: no limit. */
  readonly quota?: RequestQuota;
}

export default Customer;
