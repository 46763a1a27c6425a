/**
 * Faults of links.
 */
import type Finding from '../Finding.js';
import type ConfigurationDraft from './ConfigurationDraft.js';

/** Links from a region to itself, and pairs that are linked twice. */
export default function listLinkFindings({ links }: ConfigurationDraft): readonly Finding[] {
  const seen = new Set<string>();
  return links.flatMap(({ index, item }): Finding[] => {
    const [one, other] = item.between;
    const path = ['links', index, 'between'];
    if (one === other) {
      const found = `a link from ${JSON.stringify(one)} to itself`;
      return [{ path, found, expected: 'two regions that differ' }];
    }
    const key = [...item.between].sort().join('>');
    const isAgain = seen.has(key);
    seen.add(key);
    const found = `a second link between ${JSON.stringify(one)} and ${JSON.stringify(other)}`;
    return isAgain ? [{ path, found, expected: 'one link a pair of regions' }] : [];
  });
}
