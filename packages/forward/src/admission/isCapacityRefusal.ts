/**
 * Tells a refusal that ends by itself, when a target has capacity again, from others.
 */
import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';

/** Whether the request may be queued until a target has capacity. */
export default function isCapacityRefusal(choice: Either<RequestFailure, Choice>): boolean {
  return isLeft(choice) && choice.left._tag === 'NotRun' && choice.left.reason === 'region-full';
}
