/**
 * How long entry VMs have been gone.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Counted on this VM's own clock, from when it first missed them. */
export default class AbsenceTracker {
  private readonly missingSinceMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes which of the VMs are missing current; returns those missing throughout the time given. */
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
