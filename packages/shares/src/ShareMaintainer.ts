/**
 * Periodic maintenance of the slots of one entry VM.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Membership from '@burdockcove/types/Membership';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type LoanService from './LoanService.js';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import getPlanKey from './getPlanKey.js';

/** Interval at which the slots of expired loans are reclaimed. */
const MAINTENANCE_INTERVAL_MS = 100;
/** Minimum time between reads of unconfirmed plans; also the delay after a failed read. */
const READ_INTERVAL_MS = 1_000;

/** Reads plans that this process has not yet read from the store, and reclaims expired loans. */
export default class ShareMaintainer implements Child {
  readonly name = 'share-keeper';

  private lastReadAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly membership: Membership,
    private readonly store: Store,
    private readonly ledger: OwnedSlotLedger,
    private readonly loanService: LoanService,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.loanService.removeExpired();
      await this.confirmPlans();
      this.ledger.notifyListeners();
      await waitFor(this.clock, MAINTENANCE_INTERVAL_MS, signal);
    }
  }

  private async confirmPlans(): Promise<void> {
    const regions = this.ledger.plans.listUnconfirmed(this.membership.getSelf().region);
    if (
      regions.length === 0 ||
      this.clock.getMonotonicMs() - this.lastReadAtMs < READ_INTERVAL_MS
    ) {
      return;
    }
    this.lastReadAtMs = this.clock.getMonotonicMs();
    for (const region of regions) {
      await this.confirmPlan(region);
    }
  }

  private async confirmPlan(region: string): Promise<void> {
    const read = await this.store.readKey(getPlanKey(region))();
    if (isLeft(read)) {
      this.logger.warn('failed to read the plan from the store; its slots remain unused', {
        step: 'confirm-plan',
        peer: read.left.peer,
        region,
        error: read.left.detail,
      });
      return;
    }
    this.ledger.confirmPlan(region, read.right);
  }
}
