/**
 * This VM's part of a retry budget that all entry VMs share: a ratio of its own first attempts in a sliding window, and
 * its part of a fixed allowance.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Service from '@burdockcove/types/Service';
import type RetryBudget from '../RetryBudget.js';
import SlidingWindowCounter from './SlidingWindowCounter.js';

/** The retry budget of all entry VMs together. */
interface FleetBudget {
  /** Retries as a share of first attempts. */
  readonly ratio: number;
  /** Retries per window that are allowed regardless of first attempts. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** Share of the budget that is used, so that VMs that disagree on the number of VMs stay within the budget. */
const USABLE_SHARE = 0.75;

interface ServiceCounters {
  readonly firstAttempts: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/** Counts per target service. */
export default class FleetRetryBudget implements RetryBudget {
  private readonly counters = new Map<string, ServiceCounters>();

  constructor(
    private readonly clock: Clock,
    private readonly getBudget: () => FleetBudget,
    private readonly countEntryVms: () => number,
  ) {}

  recordFirstAttempt(_service: Service, targetService: string): void {
    this.getCounters(targetService).firstAttempts.add(this.clock.getMonotonicMs());
  }

  tryAcquireRetry(_service: Service, targetService: string): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const { ratio, allowance } = this.getBudget();
    const { firstAttempts, retries } = this.getCounters(targetService);
    const ownAllowance = allowance / Math.max(1, this.countEntryVms());
    const limit = USABLE_SHARE * (ratio * firstAttempts.count(nowMs) + ownAllowance);
    if (retries.count(nowMs) + 1 > limit) {
      return false;
    }
    retries.add(nowMs);
    return true;
  }

  private getCounters(targetService: string): ServiceCounters {
    const known = this.counters.get(targetService);
    if (known !== undefined) {
      return known;
    }
    const { windowMs } = this.getBudget();
    const counters = {
      firstAttempts: new SlidingWindowCounter(windowMs),
      retries: new SlidingWindowCounter(windowMs),
    };
    this.counters.set(targetService, counters);
    return counters;
  }
}
