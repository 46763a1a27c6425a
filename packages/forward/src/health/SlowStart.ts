/**
 * Slow start of a target that is new or has recovered.
 */

const RAMP_MS = 10_000;
const FIRST_SHARE = 0.1;

/** Limits the share of slots used, growing with time from a tenth to all of them. */
export default class SlowStart {
  private startedMs = -Infinity;

  private nextAtMs = 0;

  start(nowMs: number): void {
    this.startedMs = nowMs;
    this.nextAtMs = 0;
  }

  /** The share of slots that may be used now, above 0 and up to 1. */
  getShare(nowMs: number): number {
    const part = (nowMs - this.startedMs) / RAMP_MS;
    return part >= 1 ? 1 : FIRST_SHARE + (1 - FIRST_SHARE) * part;
  }

  /** Whether one more request may be sent; `slots` are those this VM may use at the target. */
  isAllowed(nowMs: number, inFlight: number, slots: number): boolean {
    const share = this.getShare(nowMs);
    if (share === 1) {
      return true;
    }
    return inFlight < Math.max(1, Math.floor(share * slots)) && nowMs >= this.nextAtMs;
  }

  /** Keeps a slot idle after a request for as long as a share below one whole slot asks for. */
  recordEnd(nowMs: number, latencyMs: number, slots: number): void {
    const wholeSlots = this.getShare(nowMs) * slots;
    if (wholeSlots < 1) {
      this.nextAtMs = nowMs + latencyMs * (1 / wholeSlots - 1);
    }
  }
}
