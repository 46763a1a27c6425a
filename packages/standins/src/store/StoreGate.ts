/**
 * What stands between a caller and the store stand-in's data: limits, slowness, outages and lost answers.
 */
import { left, type Either } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type StoreError from '@burdockcove/types/StoreError';
import type CallMeter from './CallMeter.js';
import buildStoreError from './buildStoreError.js';

const CALL_TIMEOUT_MS = 2_000;

/** A call slower than the timeout fails, and a write among them takes effect later. */
export default class StoreGate {
  private down = false;

  private delayMs = 0;

  private answersToLose = 0;

  constructor(
    private readonly clock: Clock,
    private readonly meter: CallMeter,
  ) {}

  setDown(down: boolean): void {
    this.down = down;
  }

  isDown(): boolean {
    return this.down;
  }

  setDelay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  loseAnswers(count: number): void {
    this.answersToLose = count;
  }

  /** Applies a read, or fails it. */
  runRead<A>(kind: string, apply: () => Either<StoreError, A>): TaskEither<StoreError, A> {
    return async () => {
      const refusal = this.checkCall(kind, this.meter.takeRead(kind));
      if (refusal !== undefined) {
        return left(refusal);
      }
      await this.waitDelay(Math.min(this.delayMs, CALL_TIMEOUT_MS));
      return this.down || this.delayMs > CALL_TIMEOUT_MS
        ? left(buildStoreError('StoreUnavailable', kind, 'no answer in time'))
        : apply();
    };
  }

  /** Applies a write, or fails it before or after it took effect. */
  runWrite<A>(kind: string, apply: () => Either<StoreError, A>): TaskEither<StoreError, A> {
    return async () => {
      const refusal = this.checkCall(kind, this.meter.takeWrite(kind));
      return refusal === undefined ? this.applyWrite(kind, apply) : left(refusal);
    };
  }

  private checkCall(kind: string, allowed: boolean): StoreError | undefined {
    if (this.down) {
      return buildStoreError('StoreUnavailable', kind, 'store is down');
    }
    return allowed ? undefined : buildStoreError('StoreRefused', kind, 'too many requests');
  }

  private async applyWrite<A>(
    kind: string,
    apply: () => Either<StoreError, A>,
  ): Promise<Either<StoreError, A>> {
    if (this.delayMs > CALL_TIMEOUT_MS) {
      this.clock.startTimer(this.delayMs, apply);
      await this.waitDelay(CALL_TIMEOUT_MS);
      return left(buildStoreError('StoreAnswerLost', kind, 'no answer in time'));
    }
    await this.waitDelay(this.delayMs);
    if (this.down) {
      return left(buildStoreError('StoreAnswerLost', kind, 'store went down'));
    }
    const result = apply();
    if (this.answersToLose === 0) {
      return result;
    }
    this.answersToLose -= 1;
    return left(buildStoreError('StoreAnswerLost', kind, 'answer lost'));
  }

  private async waitDelay(delayMs: number): Promise<void> {
    if (delayMs > 0) {
      await waitFor(this.clock, delayMs);
    }
  }
}
