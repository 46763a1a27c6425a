/**
 * Planned stop of an entry VM.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type StopState from './StopState.js';
import type Traffic from './Traffic.js';

const STEP = 'planned stop';
const POLL_INTERVAL_MS = 50;
/** Callers count as gone after this time without a request. */
const QUIET_MS = 1000;
/** Reserved for the delivery of the last responses to their callers. */
const END_MARGIN_MS = 500;

/** Times that bound a stop, in milliseconds. */
interface StopTimes {
  /** How long callers may cache the result of a look-up. */
  readonly maxAgeMs: number;
  /** The longest deadline of any service. */
  readonly longestDeadlineMs: number;
  readonly stopLimitMs: number;
}

/** Removes the VM from look-ups, continues to serve requests, and ends when none is in flight. */
export default class PlannedStop {
  constructor(
    private readonly state: StopState,
    private readonly traffic: Traffic,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly getTimes: () => StopTimes,
  ) {}

  /** Resolves when the process may end: no request is in flight, or the stop limit is reached. */
  async run(): Promise<void> {
    const times = this.getTimes();
    const startedMs = this.clock.getMonotonicMs();
    const serveUntilMs = startedMs + this.computeServeDurationMs(times);
    const endAtMs = startedMs + times.stopLimitMs - END_MARGIN_MS;
    this.state.startLeaving(endAtMs);
    this.log('removed from look-ups; still serving requests', startedMs);
    await this.waitFor(() => this.areCallersGone(startedMs + times.maxAgeMs), serveUntilMs);
    this.state.startRefusing();
    this.log('refusing new requests; waiting for requests in flight', startedMs);
    await this.waitFor(() => this.traffic.countInFlight() === 0, endAtMs);
    this.log(this.traffic.countInFlight() === 0 ? 'stopped' : 'stop limit reached', startedMs);
  }

  /** Returns how long new requests are accepted, so that the last ones reach their deadlines before the stop limit. */
  private computeServeDurationMs({ maxAgeMs, longestDeadlineMs, stopLimitMs }: StopTimes): number {
    const serveMs = Math.max(0, stopLimitMs - longestDeadlineMs - END_MARGIN_MS);
    if (serveMs < maxAgeMs) {
      this.logger.warn('the stop limit is shorter than the sum of max age and longest deadline', {
        step: STEP,
        stopLimitMs,
        maxAgeMs,
        longestDeadlineMs,
      });
    }
    return serveMs;
  }

  private areCallersGone(agedAtMs: number): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const isQuiet = nowMs - this.traffic.getLastRequestMs() >= QUIET_MS;
    return nowMs >= agedAtMs && isQuiet && this.traffic.countInFlight() === 0;
  }

  private async waitFor(condition: () => boolean, untilMs: number): Promise<void> {
    while (!condition() && this.clock.getMonotonicMs() < untilMs) {
      await waitFor(this.clock, POLL_INTERVAL_MS);
    }
  }

  private log(message: string, startedMs: number): void {
    this.logger.info(message, {
      step: STEP,
      elapsedMs: Math.round(this.clock.getMonotonicMs() - startedMs),
      inFlight: this.traffic.countInFlight(),
      callerConnections: this.traffic.countConnections(),
    });
  }
}
