/**
 * Tells entries that expired in an outage of the store from targets that left.
 *
 * After an outage many entries may have expired although their targets are running. If a large part of a service is
 * missing, its targets have time to register again. If only a few are missing, they left normally, perhaps while only
 * this VM could not reach the store.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Time for running targets to register again once the store is available, in milliseconds. */
const REREGISTRATION_GRACE_MS = 2000;
/** Fraction of a service's targets above which missing entries are treated as expired in the outage. */
const MASS_EXPIRY_RATIO = 1 / 3;

/** Times are monotonic, in milliseconds. */
export default class MassExpiry {
  private isStoreUnavailable = false;

  /** Number of targets of each service when the store became available again. */
  private countsAtRecovery: ReadonlyMap<string, number> = new Map();

  /** Number of targets of each service whose entries were missing since then. */
  private readonly missingCounts = new Map<string, number>();

  private endsAtMs = -Infinity;

  private restoreGraceEndsAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Until this time, targets of a service with many missing entries are retained. */
  get graceEndsAtMs(): number {
    return this.endsAtMs;
  }

  /** Until this time, targets that are missing from a list of the store are retained. */
  get restoredUntilMs(): number {
    return this.restoreGraceEndsAtMs;
  }

  markStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  /** Starts the grace period after an outage; `countByService` returns the number of known targets. */
  markStoreAvailable(countByService: () => ReadonlyMap<string, number>): void {
    if (this.isStoreUnavailable) {
      this.isStoreUnavailable = false;
      this.missingCounts.clear();
      this.countsAtRecovery = countByService();
      this.endsAtMs = this.clock.getMonotonicMs() + REREGISTRATION_GRACE_MS;
    }
  }

  /** Starts the grace period after a return of the store from a snapshot, in which every missing entry may be lost. */
  markStoreRestored(): void {
    this.restoreGraceEndsAtMs = this.clock.getMonotonicMs() + REREGISTRATION_GRACE_MS;
  }

  /** Records that the entry of a target of the service is missing. */
  recordMissing(service: string): void {
    this.missingCounts.set(service, (this.missingCounts.get(service) ?? 0) + 1);
  }

  /** Whether missing entries of the service are treated as expired. */
  isLikely(service: string): boolean {
    const missing = this.missingCounts.get(service) ?? 0;
    const isInGracePeriod = this.clock.getMonotonicMs() < this.endsAtMs;
    return (
      isInGracePeriod && missing > MASS_EXPIRY_RATIO * (this.countsAtRecovery.get(service) ?? 0)
    );
  }
}
