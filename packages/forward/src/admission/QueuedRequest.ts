/**
 * A request that waits for a slot, or got one at once.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type Waiter from './Waiter.js';

/** `result` resolves when the request is settled. */
export default class QueuedRequest implements Waiter {
  readonly result: Promise<Either<RequestFailure, Choice>>;

  readonly enqueuedAtMs: number;

  private resolve: (result: Either<RequestFailure, Choice>) => void = () => undefined;

  private onCallerDisconnected: (() => void) | null = null;

  private timer: Timer | null = null;

  private settled = false;

  constructor(
    private readonly clock: Clock,
    readonly request: ChoiceRequest,
    readonly groupKey: string,
  ) {
    this.enqueuedAtMs = clock.getMonotonicMs();
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  isSettled(): boolean {
    return this.settled;
  }

  settle(result: Either<RequestFailure, Choice>): void {
    this.settled = true;
    this.timer?.cancel();
    if (this.onCallerDisconnected !== null) {
      this.request.signal.removeEventListener('abort', this.onCallerDisconnected);
    }
    this.resolve(result);
  }

  /**
   * Calls `onTooLate` when less than `expectedDurationMs` is left before the deadline, and `onCallerDisconnected`
   * when the caller disconnects.
   */
  startWaiting(
    expectedDurationMs: number,
    onTooLate: () => void,
    onCallerDisconnected: () => void,
  ): void {
    const maxWaitMs = this.request.deadlineAtMs - this.enqueuedAtMs - expectedDurationMs;
    this.timer = this.clock.startTimer(Math.max(0, maxWaitMs), onTooLate);
    this.onCallerDisconnected = onCallerDisconnected;
    this.request.signal.addEventListener('abort', onCallerDisconnected, { once: true });
  }
}
