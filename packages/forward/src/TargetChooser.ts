/**
 * Chooses a target for each attempt.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from './Choice.js';
import type ChoiceRequest from './ChoiceRequest.js';

/** Keeps the request in a bounded queue until a slot is free, and refuses it once its deadline cannot be met. */
interface TargetChooser {
  chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>>;
}

export default TargetChooser;
