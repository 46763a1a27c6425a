/**
 * Orders on shifts.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import getShiftOrderKey from '@burdockcove/shares/shift/getShiftOrderKey';
import type ShiftOrder from '@burdockcove/shares/shift/ShiftOrder';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import toCommitFailure from '../errors/toCommitFailure.js';
import toReadFailure from '../errors/toReadFailure.js';
import commitTransaction from '../store/commitTransaction.js';
import type Winner from '../store/Winner.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';

async function readOrderWinner(
  { store }: CommandContext,
  key: string,
  value: string,
): Promise<Winner> {
  const entry = await store.readKey(key)();
  if (isLeft(entry)) {
    return entry.left;
  }
  return isSome(entry.right) && entry.right.value.value === value ? 'own' : 'other';
}

/** Stores the order; the holder of the shift role carries it out. */
export default async function orderShift(
  context: CommandContext,
  selector: string,
  order: ShiftOrder['order'],
  reason: string,
): Promise<Either<CtlFailure, CommandResult>> {
  const key = getShiftOrderKey(selector);
  const entry = await context.store.readKey(key)();
  if (isLeft(entry)) {
    return left(toReadFailure(entry.left));
  }
  const revision = isSome(entry.right) ? entry.right.value.revision : 0;
  const at = new Date(context.clock.getWallMs()).toISOString();
  const { operator } = context;
  const value = JSON.stringify({ version: 1, order, operator, reason, at, id: context.createId() });
  const outcome = await commitTransaction(
    context.store,
    context.clock,
    { compares: [{ key, revision }], puts: [{ key, value }], deletes: [] },
    () => readOrderWinner(context, key, value),
  );
  if (outcome._tag === 'Accepted') {
    const data = { outcome: 'done', selector, order };
    return right({
      data,
      lines: [`ordered ${order} for ${selector}; 'rollout' shows what it does`],
    });
  }
  if (outcome._tag === 'Conflict') {
    const detail = 'another operator gave an order at the same moment; look at it first';
    return left(createFailure('Refused', 'order shift', detail));
  }
  return left(
    toCommitFailure(outcome, `'burdockcovectl rollout ${selector}' shows whether it was taken`),
  );
}
