/**
 * Keeps the parts of quotas that this VM owns, and its connections to other owners, in step with the membership.
 */
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type OwnerConnector from './OwnerConnector.js';
import type QuotaOwner from './QuotaOwner.js';

/** Shorter than the time for which a VM must be registered before it grants, so that each loss is noticed. */
const INTERVAL_MS = 500;

/** Run by the supervisor. */
export default class QuotaMaintainer implements Child {
  readonly name = 'quota-maintainer';

  constructor(
    private readonly owner: QuotaOwner,
    private readonly connector: OwnerConnector,
    private readonly clock: Clock,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.owner.updateOwned();
      this.connector.openConnections();
      await waitFor(this.clock, INTERVAL_MS, signal);
    }
  }
}
