/**
 * How long entry VMs have been gone.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Counted on this VM's own clock, from when it first missed them. */
export default class AbsenceBook {
  private readonly missedAtMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes which of the VMs are missing now; returns those missing throughout the time given. */
  noteMissing(missing: readonly string[], goneAfterMs: number): ReadonlySet<string> {
    const nowMs = this.clock.getMonotonicMs();
    const now = new Set(missing);
    [...this.missedAtMs.keys()]
      .filter((address) => !now.has(address))
      .forEach((address) => this.missedAtMs.delete(address));
    missing.forEach((address) =>
      this.missedAtMs.set(address, this.missedAtMs.get(address) ?? nowMs),
    );
    return new Set(
      missing.filter((address) => nowMs - (this.missedAtMs.get(address) ?? nowMs) >= goneAfterMs),
    );
  }

  clear(): void {
    this.missedAtMs.clear();
  }
}
