/**
 * A request in a queue.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';

/** Settled once; later calls have no effect. */
interface Waiter {
  readonly request: ChoiceRequest;
  /** Monotonic time in milliseconds. */
  readonly enqueuedAtMs: number;
  /** Equal for requests that may use the same targets. */
  readonly groupKey: string;
  settle(result: Either<RequestFailure, Choice>): void;
}

export default Waiter;
