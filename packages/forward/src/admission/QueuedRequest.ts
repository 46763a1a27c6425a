/**
 * A request that waits for its slot, or was served at once.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type Waiter from './Waiter.js';

/** `answer` resolves when the request was settled. */
export default class QueuedRequest implements Waiter {
  readonly answer: Promise<Either<RequestFailure, Choice>>;

  readonly sinceMs: number;

  private resolve: (result: Either<RequestFailure, Choice>) => void = () => undefined;

  private onGone: (() => void) | null = null;

  private timer: Timer | null = null;

  private settled = false;

  constructor(
    private readonly clock: Clock,
    readonly request: ChoiceRequest,
    readonly group: string,
  ) {
    this.sinceMs = clock.getMonotonicMs();
    this.answer = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  isSettled(): boolean {
    return this.settled;
  }

  settle(result: Either<RequestFailure, Choice>): void {
    this.settled = true;
    this.timer?.cancel();
    if (this.onGone !== null) {
      this.request.signal.removeEventListener('abort', this.onGone);
    }
    this.resolve(result);
  }

  /** Calls back when the request can no longer be met, or when its caller goes away. */
  startWaiting(needMs: number, onLate: () => void, onGone: () => void): void {
    const leftMs = this.request.deadlineAtMs - this.sinceMs - needMs;
    this.timer = this.clock.startTimer(Math.max(0, leftMs), onLate);
    this.onGone = onGone;
    this.request.signal.addEventListener('abort', onGone, { once: true });
  }
}
