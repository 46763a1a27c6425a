/**
 * Traffic that a change moves without a shift.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Demand from '../limits/Demand.js';
import listUsableTargets from '../limits/listUsableTargets.js';
import measureTargetMove from '../limits/measureTargetMove.js';
import placeDemand from '../limits/placeDemand.js';
import formatNumber from '../output/formatNumber.js';
import formatPercent from '../output/formatPercent.js';

const ROUNDING = 1e-9;
const MIN_SHOWN = 0.05;

function countSlots(
  configuration: Configuration | undefined,
  service: string,
  region: string,
): number {
  const usable = configuration === undefined ? [] : listUsableTargets(configuration, service);
  return usable
    .filter((each) => each.region === region)
    .reduce((sum, { target }) => sum + target.slots, 0);
}

function describeSlots(before: Configuration | undefined, after: Configuration): readonly string[] {
  return after.services.flatMap(({ name }) =>
    after.regions.flatMap(({ name: region }) => {
      const was = countSlots(before, name, region);
      const is = countSlots(after, name, region);
      return was === is ? [] : [`${name} in ${region}: slots for new work go from ${was} to ${is}`];
    }),
  );
}

function describeSelectors(before: Configuration, after: Configuration): readonly string[] {
  return after.services.flatMap(({ name }) =>
    after.regions.flatMap(({ name: region }) => {
      const { from, to, moved } = measureTargetMove(before, after, name, region);
      return from === to || moved < ROUNDING
        ? []
        : [
            `${name} for clients of ${region}: ${to || 'no selector'} takes over from ` +
              `${from || 'no selector'} and moves ${formatPercent(moved)}`,
          ];
    }),
  );
}

/** The configuration after the change with the weights of before, which shifts move later. */
function keepWeights(before: Configuration | undefined, after: Configuration): Configuration {
  const selectors = after.selectors.map((selector) => {
    const earlier = before?.selectors.find(({ name }) => name === selector.name);
    return earlier === undefined ? selector : { ...selector, routes: earlier.routes };
  });
  return { ...after, selectors };
}

function describeDemand(
  before: Configuration,
  after: Configuration,
  demand: readonly Demand[],
): readonly string[] {
  const held = keepWeights(before, after);
  return after.services.flatMap(({ name }) => {
    const was = placeDemand(before, name, demand).byRegion;
    const is = placeDemand(held, name, demand).byRegion;
    const moves = after.regions
      .map(({ name: region }) => [region, was.get(region) ?? 0, is.get(region) ?? 0] as const)
      .filter(([, earlier, later]) => Math.abs(later - earlier) > MIN_SHOWN)
      .map(
        ([region, earlier, later]) =>
          `${region} ${formatNumber(earlier)} -> ${formatNumber(later)}`,
      );
    return moves.length === 0 ? [] : [`${name} requests at once: ${moves.join(', ')}`];
  });
}

/** One line each; labels that say `leaving`, new and removed targets, and selectors that take over. */
export default function listImmediateMoves(
  before: Configuration | undefined,
  after: Configuration,
  demand: readonly Demand[],
): readonly string[] {
  return [
    ...describeSlots(before, after),
    ...(before === undefined ? [] : describeSelectors(before, after)),
    ...(before === undefined ? [] : describeDemand(before, after, demand)),
  ];
}
