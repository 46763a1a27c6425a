/**
 * Builds the first shift record of a selector.
 */
import type Selector from '@burdockcove/types/Selector';
import type ShiftRecord from './ShiftRecord.js';

/**
 * Returns a record that puts the selector's routes in force. A writer that stores a configuration
 * with a new selector stores this record in the same transaction, so that a later change of weights
 * starts from it.
 */
export default function buildInitialShift(
  selector: Selector,
  configurationRevision: number,
  updatedAt: string,
): ShiftRecord {
  const { routes } = selector;
  return {
    version: 1,
    selector: selector.name,
    ordered: routes,
    origin: routes,
    from: routes,
    to: routes,
    position: 1,
    status: 'done',
    direction: 'forward',
    reason: 'first configuration of the selector',
    configurationRevision,
    orderRevision: 0,
    epoch: 0,
    updatedAt,
  };
}
