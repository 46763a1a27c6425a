/**
 * Differences between two configurations.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type Change from './Change.js';
import flattenFields from './flattenFields.js';

type Fields = Readonly<Record<string, unknown>>;

type Entry = readonly [string, Fields];

/** Each object by its word and name; `configuration` stands for what is no list. */
function listObjects(configuration: Configuration | undefined): ReadonlyMap<string, Fields> {
  const { regions, failureDomains, services, targets, selectors, links, clientBlocks, ...rest } =
    configuration ?? ({} as Partial<Configuration>);
  const byName = { region: regions, 'failure-domain': failureDomains, service: services };
  const named = { ...byName, target: targets, selector: selectors };
  const entries: readonly Entry[] = [
    ...Object.entries(named).flatMap(([word, list]) =>
      (list ?? []).map((item): Entry => [`${word} ${item.name}`, { ...item }]),
    ),
    ...(links ?? []).map((link): Entry => [
      `link ${[...link.between].sort().join(' - ')}`,
      { ...link, between: undefined },
    ]),
    ...(clientBlocks ?? []).map((block): Entry => [`client block ${block.cidr}`, { ...block }]),
    ['configuration', rest],
  ];
  return new Map(entries);
}

function listFieldChanges(object: string, before: object, after: object): readonly Change[] {
  const earlier = flattenFields(before as Readonly<Record<string, unknown>>);
  const later = flattenFields(after as Readonly<Record<string, unknown>>);
  return [...new Set([...earlier.keys(), ...later.keys()])]
    .filter((field) => earlier.get(field) !== later.get(field))
    .map((field) => ({
      object,
      detail: `${field} ${earlier.get(field) ?? 'none'} -> ${later.get(field) ?? 'none'}`,
    }));
}

function listOrderChanges(before: Configuration, after: Configuration): readonly Change[] {
  const earlier = before.selectors.map(({ name }) => name);
  const later = after.selectors.map(({ name }) => name);
  const kept = (names: readonly string[], others: readonly string[]): string =>
    names.filter((name) => others.includes(name)).join(', ');
  const [was, is] = [kept(earlier, later), kept(later, earlier)];
  return was === is ? [] : [{ object: 'selectors', detail: `order ${was} -> ${is}` }];
}

/** What an operator reads as the change, in the order of the configuration. */
export default function listChanges(
  before: Configuration | undefined,
  after: Configuration,
): readonly Change[] {
  const earlier = listObjects(before);
  const later = listObjects(after);
  const objects = [...new Set([...earlier.keys(), ...later.keys()])];
  const changes = objects.flatMap((object): readonly Change[] => {
    const was = earlier.get(object);
    const is = later.get(object);
    if (was === undefined || (before === undefined && object !== 'configuration')) {
      return [{ object, detail: 'added' }];
    }
    return is === undefined ? [{ object, detail: 'removed' }] : listFieldChanges(object, was, is);
  });
  return before === undefined ? changes : [...changes, ...listOrderChanges(before, after)];
}
