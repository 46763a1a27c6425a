/**
 * Judgement of a change whose base is no longer in force.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type Store from '@burdockcove/store/Store';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import type OperatorChange from '../store/OperatorChange.js';
import readChangesBetween from '../store/readChangesBetween.js';
import describeBetween from './describeBetween.js';

/** Changes merged over, or a refusal that says what changed in between and by whom. */
export default async function checkBase(
  store: Store,
  base: number,
  current: number,
  onlyObject: string | undefined,
): Promise<Either<CtlFailure, readonly OperatorChange[]>> {
  if (base === current) {
    return right([]);
  }
  if (base > current) {
    const detail = `the change was made against revision ${base}, and the store has ${current}`;
    return left(createFailure('Refused', 'compare revisions', detail));
  }
  const between = await readChangesBetween(store, base, current);
  if (isLeft(between)) {
    return between;
  }
  const isComplete = between.right.length === current - base;
  const touched = between.right.flatMap(({ changes }) => changes);
  const mayMerge =
    onlyObject !== undefined &&
    isComplete &&
    !touched.some((line) => line.startsWith(`${onlyObject}: `));
  if (mayMerge) {
    return between;
  }
  const detail = `the change was made against revision ${base}, and ${current} is in force`;
  const lines = describeBetween(between.right);
  return left(createFailure('Refused', 'compare revisions', detail, lines));
}
