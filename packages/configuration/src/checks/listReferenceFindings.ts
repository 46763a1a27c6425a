/**
 * References to things that the configuration does not have.
 */
import type Finding from '../Finding.js';
import findNearestName from '../source/findNearestName.js';
import type ConfigurationDraft from './ConfigurationDraft.js';

type Path = Finding['path'];

/** One reference by name. */
interface Reference {
  readonly path: Path;
  readonly name: string;
  readonly known: readonly string[];
  readonly kind: string;
  /** The name is a key, so its value's place stands for it. */
  readonly isKey?: boolean;
}

function checkReference({ path, name, known, kind, isKey }: Reference): readonly Finding[] {
  if (known.includes(name)) {
    return [];
  }
  const nearest = findNearestName(name, known);
  const hint = nearest === undefined ? '' : ` (nearest: ${JSON.stringify(nearest)})`;
  const found = isKey ? `a limit for ${JSON.stringify(name)}` : '';
  return [{ path, found, expected: `the name of a ${kind}${hint}` }];
}

function listPlaceReferences({ regions, failureDomains, links, names }: ConfigurationDraft) {
  return [
    ...regions.flatMap(({ index, item }) =>
      Object.keys(item.maxInFlight).map((name) => ({
        path: ['regions', index, 'maxInFlight', name],
        name,
        known: names.services,
        kind: 'service',
        isKey: true,
      })),
    ),
    ...failureDomains.map(({ index, item }) => ({
      path: ['failureDomains', index, 'region'],
      name: item.region,
      known: names.regions,
      kind: 'region',
    })),
    ...links.flatMap(({ index, item }) =>
      item.between.map((name, side) => ({
        path: ['links', index, 'between', side],
        name,
        known: names.regions,
        kind: 'region',
      })),
    ),
  ];
}

function listTrafficReferences({ targets, selectors, clientBlocks, names }: ConfigurationDraft) {
  const service = { known: names.services, kind: 'service' };
  const region = { known: names.regions, kind: 'region' };
  const domain = { known: names.failureDomains, kind: 'failure domain' };
  return [
    ...targets.flatMap(({ index, item }) => [
      { path: ['targets', index, 'service'], name: item.service, ...service },
      { path: ['targets', index, 'failureDomain'], name: item.failureDomain, ...domain },
    ]),
    ...selectors.flatMap(({ index, item }) => [
      { path: ['selectors', index, 'service'], name: item.service, ...service },
      ...item.clientRegions.map((name, position) => ({
        path: ['selectors', index, 'clientRegions', position],
        name,
        ...region,
      })),
    ]),
    ...clientBlocks.map(({ index, item }) => ({
      path: ['clientBlocks', index, 'region'],
      name: item.region,
      ...region,
    })),
  ];
}

/** Each with the nearest name that exists. */
export default function listReferenceFindings(draft: ConfigurationDraft): readonly Finding[] {
  return [...listPlaceReferences(draft), ...listTrafficReferences(draft)].flatMap(checkReference);
}
