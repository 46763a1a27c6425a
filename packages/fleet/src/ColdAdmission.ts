/**
 * Admission control for cold targets: keeps the combined request rate of all entry VMs within what each target can handle.
 *
 * As many members as the target handles requests a second may send to it, each about once a second. Rendezvous hashing
 * selects them. Members that see only a part of the fleet select a smaller number, in proportion to the part that they
 * see, so that the sum holds while views differ.
 */
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';
import type Target from '@burdockcove/types/Target';
import type ColdLimits from './ColdLimits.js';
import type KnownTarget from './KnownTarget.js';
import type MemberTable from './MemberTable.js';

const MS_PER_SECOND = 1000;
/** Fraction of the cold rate that is used, so that members with different views of the fleet stay below the full rate. */
const RATE_SAFETY_FACTOR = 0.8;
const MAX_TRACKED_TARGETS = 4096;

/** Tracks when this VM last sent a request to each target. */
export default class ColdAdmission {
  /** Monotonic times in milliseconds. */
  private readonly lastSentAtMs = new BoundedMap<string, number>(MAX_TRACKED_TARGETS);

  constructor(
    private readonly clock: Clock,
    private readonly members: MemberTable,
    private readonly getLimits: (service: string) => ColdLimits,
  ) {}

  /** Whether the target is currently cold. */
  isCold({ coldUntilMs }: KnownTarget): boolean {
    return this.clock.getMonotonicMs() < coldUntilMs;
  }

  /** Acquires permission to send one request to a cold target now; returns false if this VM must not send. */
  tryAdmit(known: KnownTarget): boolean {
    const isAdmitted = this.canAdmit(known);
    if (isAdmitted) {
      this.recordSent(known.target.name);
    }
    return isAdmitted;
  }

  /** Whether this VM may send one request to a cold target now. */
  canAdmit({ target: { name, service } }: KnownTarget): boolean {
    const ratePerS = this.getLimits(service).ratePerS * RATE_SAFETY_FACTOR;
    const senders = Math.ceil(ratePerS);
    const activeSenders = Math.min(senders, this.members.getPeakMemberCount());
    const dueAtMs = this.getLastSentAtMs(name) + (MS_PER_SECOND * activeSenders) / ratePerS;
    if (ratePerS <= 0 || this.clock.getMonotonicMs() < dueAtMs) {
      return false;
    }
    return this.members.isSelected(name, senders);
  }

  /**
   * Returns how many requests this VM may send to a target between two confirmations that it is warm, at least one. If
   * the target becomes cold between them, all VMs together stay within what it can handle in a second.
   */
  getUnconfirmedLimit({ name, service }: Target): number {
    const { ratePerS, burst } = this.getLimits(service);
    const entryVms = this.members.getPeakMemberCount();
    const senders = Math.ceil(ratePerS * RATE_SAFETY_FACTOR);
    // With fewer VMs than senders, a VM sends more than once a second to a target that it knows to be cold.
    const spare = Math.floor(entryVms >= senders ? burst : burst - senders);
    const share = Math.max(0, Math.floor(spare / entryVms));
    const hasExtra = this.members.isSelected(name, spare - share * entryVms);
    return Math.max(1, share + (hasExtra ? 1 : 0));
  }

  /** Records that this VM sends a request to the target now, cold or not. */
  recordSent(name: string): void {
    this.lastSentAtMs.set(name, this.clock.getMonotonicMs());
  }

  private getLastSentAtMs(name: string): number {
    return this.lastSentAtMs.get(name) ?? -Infinity;
  }
}
