/**
 * This VM's part of a retry budget that all entry VMs share: a share of its own first attempts in a sliding window,
 * and its fraction of the fixed allowance.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Service from '@burdockcove/types/Service';
import type RetryBudget from '../RetryBudget.js';
import SlidingCount from './SlidingCount.js';

/** What all entry VMs together may retry. */
interface FleetBudget {
  /** Retries as a share of first attempts. */
  readonly ratio: number;
  /** Retries in a window that need no first attempt. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** Share of the budget that is used, so that VMs who disagree on their number stay below it. */
const USED_SHARE = 0.75;

interface ServiceCounts {
  readonly first: SlidingCount;
  readonly retries: SlidingCount;
}

/** Counts by the service whose targets get the requests. */
export default class FleetRetryBudget implements RetryBudget {
  private readonly counts = new Map<string, ServiceCounts>();

  constructor(
    private readonly clock: Clock,
    private readonly getBudget: () => FleetBudget,
    private readonly countMembers: () => number,
  ) {}

  recordFirstAttempt(_service: Service, targetService: string): void {
    this.getCounts(targetService).first.add(this.clock.getMonotonicMs());
  }

  tryAcquireRetry(_service: Service, targetService: string): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const { ratio, allowance } = this.getBudget();
    const { first, retries } = this.getCounts(targetService);
    const fixed = allowance / Math.max(1, this.countMembers());
    const limit = USED_SHARE * (ratio * first.count(nowMs) + fixed);
    if (retries.count(nowMs) + 1 > limit) {
      return false;
    }
    retries.add(nowMs);
    return true;
  }

  private getCounts(targetService: string): ServiceCounts {
    const known = this.counts.get(targetService);
    if (known !== undefined) {
      return known;
    }
    const { windowMs } = this.getBudget();
    const counts = { first: new SlidingCount(windowMs), retries: new SlidingCount(windowMs) };
    this.counts.set(targetService, counts);
    return counts;
  }
}
