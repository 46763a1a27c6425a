/**
 * Parsing of operators' shift orders from the store.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type ShiftOrder from './ShiftOrder.js';

const ORDERS: readonly string[] = ['run', 'hold', 'back'];

/** Returns none if the value is malformed or has an unknown major version. */
export default function parseShiftOrder(value: string): Option<ShiftOrder> {
  try {
    const order = JSON.parse(value) as ShiftOrder;
    return order.version === 1 && ORDERS.includes(order.order) ? some(order) : none;
  } catch {
    return none;
  }
}
