/**
 * Lets a small share of the requests pass that would be refused by an estimate, so that a wrong estimate is corrected by
 * their responses.
 */

/** Share of the requests that pass. */
const PROBE_SHARE = 0.05;
/** Kinds of requests that are counted; services are configured, so more are left over from earlier configurations. */
const MAX_KINDS = 2048;

/** Counts by kind, so that rare kinds have probes of their own. */
export default class ProbeShare {
  private readonly earned = new Map<string, number>();

  /** Counts one request that would be refused; returns true if it passes as a probe. */
  tryAcquire(kind: string): boolean {
    if (!this.earned.has(kind) && this.earned.size >= MAX_KINDS) {
      this.earned.clear();
    }
    const earned = (this.earned.get(kind) ?? 0) + PROBE_SHARE;
    const isProbe = earned >= 1;
    this.earned.set(kind, isProbe ? earned - 1 : earned);
    return isProbe;
  }
}
