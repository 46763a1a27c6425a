/**
 * Applies an operator's order to a shift.
 */
import type ShiftOrder from './ShiftOrder.js';
import type ShiftRecord from './ShiftRecord.js';
import startShift from './startShift.js';

function buildReason({ operator, order, reason }: ShiftOrder): string {
  return `${operator} ordered ${order}: ${reason}`;
}

function resume(record: ShiftRecord): ShiftRecord {
  if (record.direction === 'back') {
    return { ...startShift(record, record.ordered), direction: 'forward' };
  }
  return record.status === 'held' ? { ...record, status: 'moving' } : record;
}

function rollBack(record: ShiftRecord): ShiftRecord {
  if (record.direction === 'back') {
    return record.status === 'held' ? { ...record, status: 'moving' } : record;
  }
  return { ...startShift(record, record.origin), direction: 'back' };
}

function hold(record: ShiftRecord): ShiftRecord {
  return record.status === 'moving' ? { ...record, status: 'held' } : record;
}

/** Returns the record after the order; applying the order itself moves no traffic. */
export default function applyShiftOrder(
  record: ShiftRecord,
  order: ShiftOrder,
  orderRevision: number,
): ShiftRecord {
  const handlers = { run: resume, hold, back: rollBack };
  return { ...handlers[order.order](record), orderRevision, reason: buildReason(order) };
}
