/**
 * Traffic that a change moves without a shift.
 */
import type Configuration from '@burdockcove/types/Configuration';
import listUsableTargets from '../limits/listUsableTargets.js';
import measureTargetMove from '../limits/measureTargetMove.js';
import formatPercent from '../output/formatPercent.js';

const ROUNDING = 1e-9;

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

/** One line each; labels that say `leaving`, new and removed targets, and selectors that take over. */
export default function listImmediateMoves(
  before: Configuration | undefined,
  after: Configuration,
): readonly string[] {
  return [
    ...describeSlots(before, after),
    ...(before === undefined ? [] : describeSelectors(before, after)),
  ];
}
