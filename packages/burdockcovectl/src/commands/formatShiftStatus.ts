/**
 * Shifts for reading.
 */
import type Route from '@burdockcove/types/Route';
import formatPercent from '../output/formatPercent.js';
import type ShiftStatus from './ShiftStatus.js';

function describeTargets({ targets }: Route): string {
  const labels = Object.entries(targets).map(([name, value]) => `${name}=${value}`);
  return labels.join(' ') || 'any target';
}

function formatRoutes(routes: readonly Route[]): string {
  const total = routes.reduce((sum, { weight }) => sum + weight, 0);
  return routes
    .map((route) => `${describeTargets(route)} ${formatPercent(route.weight / total)}`)
    .join(', ');
}

/** A head line, the shares in force, and the shares ordered where they differ. */
export default function formatShiftStatus(shift: ShiftStatus): readonly string[] {
  const { selector, status, direction, position, reason, updatedAt, inForce, ordered } = shift;
  const progress =
    status === 'done' ? 'done' : `${status} ${direction} at ${formatPercent(position)}`;
  return [
    `${selector}: ${progress} since ${updatedAt} (${reason})`,
    `  in force: ${formatRoutes(inForce)}`,
    ...(status === 'done' ? [] : [`  ordered: ${formatRoutes(ordered)}`]),
  ];
}
