/**
 * The `rollout` command: shows shifts and gives orders on them.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type ShiftOrder from '@burdockcove/shares/shift/ShiftOrder';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import toReadFailure from '../errors/toReadFailure.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';
import formatShiftStatus from './formatShiftStatus.js';
import orderShift from './orderShift.js';
import readShiftStatuses from './readShiftStatuses.js';

const ORDERS: readonly string[] = ['run', 'hold', 'back'];
const FORM = "expected 'rollout [SELECTOR [run|hold|back]]'";

/** Without an order, shows one selector's shift or all of them. */
export default async function runRollout(
  context: CommandContext,
  [selector, order]: readonly string[],
  reason: string,
): Promise<Either<CtlFailure, CommandResult>> {
  if (order !== undefined && !ORDERS.includes(order)) {
    return left(createFailure('Usage', 'read command', FORM));
  }
  const statuses = await readShiftStatuses(context.store);
  if (isLeft(statuses)) {
    return left(toReadFailure(statuses.left));
  }
  const wanted = statuses.right.filter(
    (each) => selector === undefined || each.selector === selector,
  );
  if (selector !== undefined && wanted.length === 0) {
    const known = statuses.right.map((each) => each.selector).join(', ') || 'none';
    const detail = `no shift record of selector ${selector}; there are records of: ${known}`;
    return left(createFailure('Refused', 'rollout', detail));
  }
  if (selector !== undefined && order !== undefined) {
    return orderShift(context, selector, order as ShiftOrder['order'], reason);
  }
  return right({ data: { shifts: wanted }, lines: wanted.flatMap(formatShiftStatus) });
}
