/**
 * Which requests may still start while the process stops as planned.
 */
import type Clock from '@burdockcove/runtime/Clock';
import ServiceDurations from './ServiceDurations.js';
import type StopState from './StopState.js';

/** A request may take longer than all others of late. */
const DURATION_MARGIN = 1.25;

/** What is asked of a request; `deadlineAtMs` is monotonic, in milliseconds. */
interface TimedRequest {
  readonly service: { readonly name: string };
  readonly deadlineAtMs: number;
}

/** Admits what is expected to end before the process does; all else is refused before it is sent anywhere. */
export default class StopAdmission {
  private readonly requests: ServiceDurations;

  private readonly attempts: ServiceDurations;

  constructor(
    private readonly state: StopState,
    private readonly clock: Clock,
  ) {
    this.requests = new ServiceDurations(clock);
    this.attempts = new ServiceDurations(clock);
  }

  /** Records the time from the receipt of a request to its end, in milliseconds. */
  recordRequest(service: string, durationMs: number): void {
    this.requests.record(service, durationMs);
  }

  /** Records the time from the start of an attempt to its end, in milliseconds. */
  recordAttempt(service: string, durationMs: number): void {
    this.attempts.record(service, durationMs);
  }

  /** Whether a request that has just been received may be served; it may still have to wait for a target. */
  mayAccept(request: TimedRequest): boolean {
    return this.fits(request, this.requests);
  }

  /** Whether a request may be sent to a target now. */
  maySend(request: TimedRequest): boolean {
    return this.fits(request, this.attempts);
  }

  private fits({ service, deadlineAtMs }: TimedRequest, durations: ServiceDurations): boolean {
    const endAtMs = this.state.getEndAtMs();
    if (deadlineAtMs <= endAtMs) {
      return true;
    }
    const expectedMs = durations.getLongestMs(service.name) * DURATION_MARGIN;
    return this.clock.getMonotonicMs() + expectedMs <= endAtMs;
  }
}
