/**
 * Formats a route explanation as text.
 */
import type RouteExplanation from './RouteExplanation.js';

const PERCENT = 100;
const ROUNDING_TOLERANCE = 1e-6;

function formatShare(share: number): string {
  return `${Number((share * PERCENT).toFixed(1))}%`;
}

function formatClient({ client, clientRegion }: RouteExplanation): string {
  return clientRegion === ''
    ? `Client ${client} matches no configured client block, so its region is unknown.`
    : `Client ${client} is in region ${clientRegion}.`;
}

function formatSelector({ selector, overflow }: RouteExplanation): string {
  if (selector === '') {
    return 'No selector applies: every target of the service may serve, nearest region first.';
  }
  const rule = overflow
    ? 'when the nearest region of a route is full or unavailable, its other regions may serve'
    : 'only the nearest region of a route may serve';
  return `Selector ${selector} applies; ${rule}.`;
}

function formatRoute(route: RouteExplanation['routes'][number]): string {
  const labels = Object.entries(route.targets).map(([name, value]) => `${name}=${value}`);
  const regions = route.regions.map(
    ({ region, oneWayMs, targets }) =>
      `${region} (${oneWayMs} ms away): ${targets.length} target${targets.length === 1 ? '' : 's'}`,
  );
  const shiftNote =
    Math.abs(route.inForce - route.ordered) < ROUNDING_TOLERANCE
      ? ''
      : ` (a shift is moving it from ${formatShare(route.inForce)} to ${formatShare(route.ordered)})`;
  const destinations = regions.length === 0 ? 'no target may serve' : regions.join(', ');
  return `Route ${labels.join(' ') || 'any target'} takes ${formatShare(route.share)}${shiftNote}: ${destinations}.`;
}

/** Returns one sentence per line. */
export default function formatExplanation(explanation: RouteExplanation): readonly string[] {
  return [
    `Service ${explanation.service}, configuration revision ${explanation.revision}.`,
    formatClient(explanation),
    formatSelector(explanation),
    ...explanation.routes.map(formatRoute),
    ...explanation.ruledOut.map(
      ({ kind, name, reason }) => `Ruled out ${kind} ${name}: ${reason}.`,
    ),
  ];
}
