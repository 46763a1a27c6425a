/**
 * What this VM has seen of one target.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type AttemptResult from '../AttemptResult.js';
import hasFreeSlots from '../hasFreeSlots.js';
import ConcurrencyWindow from './ConcurrencyWindow.js';
import type SentMark from './SentMark.js';
import WarmObjects from './WarmObjects.js';

/** Time in which a reported load fades to nothing, in milliseconds. */
const REPORT_FADES_MS = 1500;
/** Time in which the memory of slow answers fades, in milliseconds. */
const SLOWNESS_FADES_MS = 6000;
const SLOWNESS_GAIN = 0.3;
/** A request out for this many times the expected time counts as overdue. */
const OVERDUE_RATIO = 3;
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4000;
/** A target that refused rests for this time, in milliseconds. */
const SHED_PAUSE_MS = 150;
/** A target that answers for another one is believed to be gone for this time, in milliseconds. */
const MISDIRECTED_PAUSE_MS = 5000;

/** Times are monotonic, in milliseconds. */
export default class TargetEvidence {
  private othersInFlight = 0;

  private reportedAtMs = -Infinity;

  /** Mean of the time taken relative to the time expected. */
  private slowness = 1;

  private slownessAtMs = -Infinity;

  /** Requests at the target, oldest first. */
  private readonly sent = new Set<SentMark>();

  private failures = 0;

  private restsUntilMs = -Infinity;

  private failsUntilMs = -Infinity;

  readonly warm: WarmObjects;

  private readonly window: ConcurrencyWindow;

  constructor(
    private readonly clock: Clock,
    slots: number,
  ) {
    this.window = new ConcurrencyWindow(slots);
    this.warm = new WarmObjects(clock);
  }

  /** Requests of this VM at the target now. */
  get inFlight(): number {
    return this.sent.size;
  }

  /** Whether one more request may go there now; `usualMs` is the usual latency of the service. */
  hasRoom(usualMs: number, extra: number): boolean {
    const nowMs = this.clock.getMonotonicMs();
    return nowMs >= this.restsUntilMs && this.window.hasRoom(this.inFlight, usualMs, extra, nowMs);
  }

  /** Records that a request goes there now, which is expected to take the time given. */
  recordSent(expectedMs: number): SentMark {
    const mark = { sentAtMs: this.clock.getMonotonicMs(), expectedMs };
    this.sent.add(mark);
    this.window.recordSent(mark.sentAtMs);
    return mark;
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

  /** Whether the target is left alone after failures. */
  isFailing(): boolean {
    return this.clock.getMonotonicMs() < this.failsUntilMs;
  }

  /** How much longer than expected the target takes, 1 or more. */
  estimateSlowness(): number {
    const nowMs = this.clock.getMonotonicMs();
    const weight = Math.max(0, 1 - (nowMs - this.slownessAtMs) / SLOWNESS_FADES_MS);
    const learned = 1 + weight * (this.slowness - 1);
    return Math.max(1, learned, this.estimateOverdue(nowMs));
  }

  /** Learns from one exchange; true where the target may have been restarted. */
  recordResult(sent: SentMark, result: AttemptResult, usualMs: number): boolean {
    const nowMs = this.clock.getMonotonicMs();
    this.sent.delete(sent);
    this.recordLoad(result, usualMs, nowMs);
    switch (result.ended) {
      case 'answered':
        this.recordSlowness(result.latencyMs / sent.expectedMs, nowMs);
        return this.recordAlive();
      case 'shed':
        this.recordShed(result, usualMs, nowMs);
        return false;
      case 'misdirected':
        this.failsUntilMs = nowMs + MISDIRECTED_PAUSE_MS;
        return false;
      case 'unreachable':
      case 'broken':
        this.recordFailure(nowMs);
        return false;
      case 'timed-out':
        this.recordSlowness(result.latencyMs / sent.expectedMs, nowMs);
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
      this.restsUntilMs = nowMs + SHED_PAUSE_MS;
    }
  }

  /** A request that is out for far longer than expected shows a slow target before any answer does. */
  private estimateOverdue(nowMs: number): number {
    const [oldest] = this.sent;
    if (oldest === undefined) {
      return 1;
    }
    const ratio = (nowMs - oldest.sentAtMs) / oldest.expectedMs;
    return ratio >= OVERDUE_RATIO ? ratio : 1;
  }

  private recordSlowness(ratio: number, nowMs: number): void {
    const isFresh = nowMs - this.slownessAtMs < SLOWNESS_FADES_MS;
    const before = isFresh ? this.slowness : 1;
    this.slowness = before + SLOWNESS_GAIN * (ratio - before);
    this.slownessAtMs = nowMs;
  }

  private recordFailure(nowMs: number): void {
    this.failures += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    this.failsUntilMs = nowMs + pauseMs;
  }

  private recordAlive(): boolean {
    const wasFailing = this.failures > 1;
    this.failures = 0;
    return wasFailing;
  }
}
