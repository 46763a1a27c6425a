/**
 * What this VM has seen of one target.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type AttemptResult from '../AttemptResult.js';
import hasFreeSlots from '../hasFreeSlots.js';
import ConcurrencyWindow from './ConcurrencyWindow.js';
import WarmObjects from './WarmObjects.js';

/** Time in which a reported load fades to nothing, in milliseconds. */
const REPORT_FADES_MS = 1500;
/** Time in which the memory of slow answers fades, in milliseconds. */
const SLOWNESS_FADES_MS = 6000;
const LATENCY_GAIN = 0.25;
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4000;
/** A target that refused rests for this time, in milliseconds. */
const SHED_PAUSE_MS = 150;
/** A target that answers for another one is believed to be gone for this time, in milliseconds. */
const MISDIRECTED_PAUSE_MS = 5000;

/** Times are monotonic, in milliseconds. */
export default class TargetEvidence {
  inFlight = 0;

  private othersInFlight = 0;

  private reportedAtMs = -Infinity;

  private latencyMs = 0;

  private latencyAtMs = -Infinity;

  private failures = 0;

  private pausedUntilMs = -Infinity;

  readonly warm: WarmObjects;

  private readonly window: ConcurrencyWindow;

  constructor(
    private readonly clock: Clock,
    slots: number,
  ) {
    this.window = new ConcurrencyWindow(slots);
    this.warm = new WarmObjects(clock);
  }

  /** Whether one more request may go there now; `usualMs` is the usual latency of the service. */
  hasRoom(usualMs: number, extra: number): boolean {
    return this.window.hasRoom(this.inFlight, usualMs, extra, this.clock.getMonotonicMs());
  }

  /** Records that a request goes there now. */
  recordSent(): void {
    this.inFlight += 1;
    this.window.recordSent(this.clock.getMonotonicMs());
  }

  /** Requests at the target now: this VM's own, and those of others by the last report. */
  estimateInFlight(): number {
    const ageMs = this.clock.getMonotonicMs() - this.reportedAtMs;
    return this.inFlight + this.othersInFlight * Math.max(0, 1 - ageMs / REPORT_FADES_MS);
  }

  /** What is believed of the load, for logs. */
  describeLoad(): { readonly inFlight: number; readonly reportAgeMs?: number } {
    const ageMs = Math.round(this.clock.getMonotonicMs() - this.reportedAtMs);
    const inFlight = Math.round(this.estimateInFlight() * 10) / 10;
    return Number.isFinite(ageMs) ? { inFlight, reportAgeMs: ageMs } : { inFlight };
  }

  /** Whether the target rests after a failure or a refusal. */
  isPaused(): boolean {
    return this.clock.getMonotonicMs() < this.pausedUntilMs;
  }

  /** How much longer than usual the target takes, 1 or more; `usualMs` is its service's usual latency. */
  estimateSlowness(usualMs: number): number {
    const ageMs = this.clock.getMonotonicMs() - this.latencyAtMs;
    const weight = Math.max(0, 1 - ageMs / SLOWNESS_FADES_MS);
    return Math.max(1, 1 + weight * (this.latencyMs / Math.max(1, usualMs) - 1));
  }

  /** Learns from one exchange; true where the target may have been restarted. */
  recordResult(result: AttemptResult, usualMs: number): boolean {
    const nowMs = this.clock.getMonotonicMs();
    this.inFlight -= 1;
    this.recordLoad(result, usualMs, nowMs);
    switch (result.ended) {
      case 'answered':
        this.recordLatency(result.latencyMs, nowMs);
        return this.recordAlive();
      case 'shed':
        this.recordShed(result, usualMs, nowMs);
        return false;
      case 'misdirected':
        this.pausedUntilMs = nowMs + MISDIRECTED_PAUSE_MS;
        return false;
      case 'unreachable':
      case 'broken':
        this.recordFailure(nowMs);
        return false;
      case 'timed-out':
        this.recordLatency(result.latencyMs, nowMs);
        return false;
      default:
        return false;
    }
  }

  private recordLoad({ load }: AttemptResult, usualMs: number, nowMs: number): void {
    if (load !== undefined) {
      this.window.recordReport(load.inFlight - load.slots, usualMs, nowMs);
      this.othersInFlight = Math.max(0, load.inFlight - this.inFlight);
      this.reportedAtMs = nowMs;
    }
  }

  /** A target that refuses although it reports free slots is not full: resting would only waste its room. */
  private recordShed(result: AttemptResult, usualMs: number, nowMs: number): void {
    if (!hasFreeSlots(result)) {
      this.window.recordShed(usualMs, nowMs);
      this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + SHED_PAUSE_MS);
    }
  }

  private recordLatency(latencyMs: number, nowMs: number): void {
    const isFresh = nowMs - this.latencyAtMs < SLOWNESS_FADES_MS;
    this.latencyMs = isFresh
      ? this.latencyMs + LATENCY_GAIN * (latencyMs - this.latencyMs)
      : latencyMs;
    this.latencyAtMs = nowMs;
  }

  private recordFailure(nowMs: number): void {
    this.failures += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    this.pausedUntilMs = nowMs + pauseMs;
  }

  private recordAlive(): boolean {
    const wasFailing = this.failures > 1;
    this.failures = 0;
    return wasFailing;
  }
}
