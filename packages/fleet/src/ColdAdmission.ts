/**
 * Admission control for cold targets: keeps the combined request rate of all entry VMs within what each target can handle.
 *
 * Rendezvous hashing selects a few members that may send to a cold target, each at a fixed interval. A stale view of the
 * membership adds at most a few senders, which the burst allowance of the limit covers.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type KnownTarget from './KnownTarget.js';
import type MemberTable from './MemberTable.js';

const MS_PER_SECOND = 1000;
/** Fraction of the cold rate that is used, so that members with different views of the fleet stay below the full rate. */
const RATE_SAFETY_FACTOR = 0.8;
const MAX_TRACKED_TARGETS = 4096;

/** Tracks the next admission time of each cold target. */
export default class ColdAdmission {
  private readonly nextAdmissionAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly members: MemberTable,
    private readonly getColdRatePerS: (service: string) => number,
  ) {}

  /** Whether the target is currently cold. */
  isCold({ coldUntilMs }: KnownTarget): boolean {
    return this.clock.getMonotonicMs() < coldUntilMs;
  }

  /** Acquires permission to send one request to a cold target now; returns false if this VM must not send. */
  tryAdmit({ target }: KnownTarget): boolean {
    const ratePerS = this.getColdRatePerS(target.service) * RATE_SAFETY_FACTOR;
    const senders = Math.max(1, Math.floor(ratePerS));
    const nowMs = this.clock.getMonotonicMs();
    const isDue = nowMs >= (this.nextAdmissionAtMs.get(target.name) ?? -Infinity);
    if (!isDue || ratePerS <= 0 || !this.members.isSelected(target.name, senders)) {
      return false;
    }
    if (this.nextAdmissionAtMs.size >= MAX_TRACKED_TARGETS) {
      this.nextAdmissionAtMs.clear();
    }
    const active = Math.min(senders, this.members.getPeakMemberCount());
    this.nextAdmissionAtMs.set(target.name, nowMs + (MS_PER_SECOND * active) / ratePerS);
    return true;
  }
}
