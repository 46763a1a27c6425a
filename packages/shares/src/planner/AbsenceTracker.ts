/**
 * Tracks how long entry VMs have been missing.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Measures absence on this VM's own clock, from the time at which it first missed a VM. */
export default class AbsenceTracker {
  private readonly missingSinceMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records the VMs that are missing now and returns those missing continuously for at least
   * `expiresAfterMs`.
   */
  updateMissing(missing: readonly string[], expiresAfterMs: number): ReadonlySet<string> {
    const nowMs = this.clock.getMonotonicMs();
    const current = new Set(missing);
    [...this.missingSinceMs.keys()]
      .filter((address) => !current.has(address))
      .forEach((address) => this.missingSinceMs.delete(address));
    missing.forEach((address) =>
      this.missingSinceMs.set(address, this.missingSinceMs.get(address) ?? nowMs),
    );
    return new Set(
      missing.filter(
        (address) => nowMs - (this.missingSinceMs.get(address) ?? nowMs) >= expiresAfterMs,
      ),
    );
  }

  clear(): void {
    this.missingSinceMs.clear();
  }
}
