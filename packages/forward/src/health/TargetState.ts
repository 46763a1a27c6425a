/**
 * What this entry VM knows of one target.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type Random from '@burdockcove/runtime/Random';
import type AttemptResult from '../AttemptResult.js';
import FailureDetector from './FailureDetector.js';
import LatencyWindow from './LatencyWindow.js';
import ReportedLoad from './ReportedLoad.js';
import ShedBackoff from './ShedBackoff.js';
import SlowStart from './SlowStart.js';

/** A timeout counts against the target only from this multiple of its usual latency. */
const TIMEOUT_FACTOR = 3;
/** The same where its latency is unknown, in milliseconds. */
const UNKNOWN_TIMEOUT_MS = 1_000;

type ConditionChange = 'none' | 'ejected' | 'recovered';

/** Own evidence first: requests in flight, latencies, failures; then the target's reports. */
export default class TargetState {
  inFlight = 0;

  readonly latency = new LatencyWindow();

  readonly failures = new FailureDetector();

  readonly report = new ReportedLoad();

  readonly slowStart = new SlowStart();

  readonly shedBackoff: ShedBackoff;

  constructor(random: Random) {
    this.shedBackoff = new ShedBackoff(random);
  }

  /** Load from 0 up: own requests and, as a hint, those of others, as a share of the target's slots. */
  estimateLoad(nowMs: number, slots: number): number {
    return this.inFlight / Math.max(1, slots) + this.report.estimateOthersShare(nowMs, slots);
  }

  /** Records what an exchange came to; returns what changed in the target's condition. */
  recordResult(nowMs: number, result: AttemptResult, slots: number): ConditionChange {
    this.slowStart.recordEnd(nowMs, result.latencyMs, slots);
    switch (result.ended) {
      case 'answered':
        return this.recordAnswer(nowMs, result);
      case 'shed':
        this.shedBackoff.recordShed(nowMs);
        return 'none';
      case 'cancelled':
        this.recordCancelled(nowMs, result.latencyMs);
        return 'none';
      case 'timed-out':
        return this.recordTimeout(nowMs, result.latencyMs);
      default:
        return this.failures.recordFailure(nowMs) ? 'ejected' : 'none';
    }
  }

  private recordAnswer(nowMs: number, result: AttemptResult): ConditionChange {
    this.shedBackoff.recordAnswer();
    if (result.status >= 500) {
      return this.failures.recordErrorAnswer(nowMs) ? 'ejected' : 'none';
    }
    this.latency.record(nowMs, result.latencyMs);
    if (!this.failures.recordSuccess()) {
      return 'none';
    }
    this.slowStart.start(nowMs);
    return 'recovered';
  }

  /** A caller that gave up early proves nothing; one that gave up late proves that the target is slow. */
  private recordCancelled(nowMs: number, latencyMs: number): void {
    if (this.isSlow(nowMs, latencyMs)) {
      this.latency.record(nowMs, latencyMs);
    }
  }

  private recordTimeout(nowMs: number, latencyMs: number): ConditionChange {
    if (!this.isSlow(nowMs, latencyMs)) {
      return 'none';
    }
    this.latency.record(nowMs, latencyMs);
    return this.failures.recordFailure(nowMs) ? 'ejected' : 'none';
  }

  private isSlow(nowMs: number, latencyMs: number): boolean {
    const median = this.latency.estimateQuantile(nowMs, 0.5);
    return latencyMs >= (isSome(median) ? TIMEOUT_FACTOR * median.value : UNKNOWN_TIMEOUT_MS);
  }
}
