/**
 * The choice of a target for each attempt.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from './Choice.js';
import type ChoiceRequest from './ChoiceRequest.js';

/** Waits in a bounded queue for a slot, and gives up once the deadline cannot be met. */
interface TargetChooser {
  chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>>;
}

export default TargetChooser;
