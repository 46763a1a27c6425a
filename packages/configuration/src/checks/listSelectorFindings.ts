/**
 * Selectors whose shares do not add up, or whose routes lead nowhere.
 */
import hasLabels from '@burdockcove/steering/hasLabels';
import listLabelledTargets from '@burdockcove/steering/listLabelledTargets';
import type Labels from '@burdockcove/types/Labels';
import type Selector from '@burdockcove/types/Selector';
import type Finding from '../Finding.js';
import type ConfigurationDraft from './ConfigurationDraft.js';
import type DraftItem from './DraftItem.js';

function describeLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}=${value}`);
  return parts.join(' ') || 'no label';
}

function listWeightFindings({ index, item }: DraftItem<Selector>): readonly Finding[] {
  const total = item.routes.reduce((sum, { weight }) => sum + weight, 0);
  const path = ['selectors', index, 'routes'];
  const found = 'weights that are all zero';
  return total > 0 ? [] : [{ path, found, expected: 'at least one route with a weight above 0' }];
}

function listTwinFindings({ index, item }: DraftItem<Selector>): readonly Finding[] {
  const keys = item.routes.map(({ targets }) => JSON.stringify(Object.entries(targets).sort()));
  return item.routes.flatMap(({ targets }, position) =>
    keys.indexOf(keys[position] ?? '') < position
      ? [
          {
            path: ['selectors', index, 'routes', position],
            found: `a second route to ${describeLabels(targets)}`,
            expected: 'one route for the same labels',
          },
        ]
      : [],
  );
}

function listEmptyRoutes(
  { index, item }: DraftItem<Selector>,
  labelled: ReturnType<typeof listLabelledTargets>,
): readonly Finding[] {
  const ofService = labelled.filter(({ target }) => target.service === item.service);
  return item.routes.flatMap(({ targets }, position) =>
    ofService.some(({ labels }) => hasLabels(labels, targets))
      ? []
      : [
          {
            path: ['selectors', index, 'routes', position, 'targets'],
            found: describeLabels(targets),
            expected: `labels that at least one target of ${item.service} carries`,
          },
        ],
  );
}

/** Routes are matched to targets only where the targets themselves are well formed. */
export default function listSelectorFindings(draft: ConfigurationDraft): readonly Finding[] {
  const places = {
    regions: draft.regions.map(({ item }) => item),
    failureDomains: draft.failureDomains.map(({ item }) => item),
    targets: draft.targets.map(({ item }) => item),
  };
  const labelled = draft.isWhole ? listLabelledTargets(places) : [];
  return draft.selectors.flatMap((each) => [
    ...listWeightFindings(each),
    ...listTwinFindings(each),
    ...(draft.isWhole && draft.names.services.includes(each.item.service)
      ? listEmptyRoutes(each, labelled)
      : []),
  ]);
}
