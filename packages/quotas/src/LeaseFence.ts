/**
 * Whether this VM's lease in the store is surely valid.
 *
 * The monotonic clock may stand still while a VM is suspended, and the lease ends meanwhile. The time of day does not
 * stand still, so a jump of it against the monotonic clock voids every lease that was renewed before.
 */
import LEASE_MS from '@burdockcove/fleet/LEASE_MS';
import type Clock from '@burdockcove/runtime/Clock';
import type OwnershipEvidence from './OwnershipEvidence.js';

/** Larger than the differences of clocks that are adjusted slowly. */
const MIN_JUMP_MS = 100;
/** Covers clocks that run at different rates and the steps of a check. */
const MARGIN_MS = 200;

/** Must be asked at least once before a suspension to notice it. */
export default class LeaseFence {
  private offsetMs: number;

  /** A lease counts if it was renewed after this monotonic time. */
  private jumpedAtMs = -Infinity;

  constructor(
    private readonly evidence: OwnershipEvidence,
    private readonly clock: Clock,
  ) {
    this.offsetMs = clock.getWallMs() - clock.getMonotonicMs();
  }

  holds(): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const offsetMs = this.clock.getWallMs() - nowMs;
    if (offsetMs - this.offsetMs > MIN_JUMP_MS) {
      this.jumpedAtMs = nowMs;
    }
    this.offsetMs = offsetMs;
    const validUntilMs = this.evidence.getLeaseValidUntilMs();
    return nowMs < validUntilMs - MARGIN_MS && validUntilMs - LEASE_MS >= this.jumpedAtMs;
  }
}
