/**
 * Slow start of a target that is new or has recovered.
 */

const RAMP_DURATION_MS = 10_000;
const INITIAL_SHARE = 0.1;

/** Limits the share of slots in use, which grows linearly from a tenth to all of them. */
export default class SlowStart {
  private startedAtMs = -Infinity;

  private nextAllowedAtMs = 0;

  start(nowMs: number): void {
    this.startedAtMs = nowMs;
    this.nextAllowedAtMs = 0;
  }

  /** Returns the share of slots that may be used now, above 0 and at most 1. */
  getSlotShare(nowMs: number): number {
    const progress = (nowMs - this.startedAtMs) / RAMP_DURATION_MS;
    return progress >= 1 ? 1 : INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
  }

  /** Whether one more request may be sent; `slots` is the number that this VM may use at the target. */
  canSend(nowMs: number, inFlight: number, slots: number): boolean {
    const share = this.getSlotShare(nowMs);
    if (share === 1) {
      return true;
    }
    return inFlight < Math.max(1, Math.floor(share * slots)) && nowMs >= this.nextAllowedAtMs;
  }

  /** Where the share is less than one slot, keeps that slot idle after a request so that its average use fits. */
  recordEnd(nowMs: number, latencyMs: number, slots: number): void {
    const allowedSlots = this.getSlotShare(nowMs) * slots;
    if (allowedSlots < 1) {
      this.nextAllowedAtMs = nowMs + latencyMs * (1 / allowedSlots - 1);
    }
  }
}
