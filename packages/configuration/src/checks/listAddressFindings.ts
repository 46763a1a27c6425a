/**
 * Clashes of target addresses.
 */
import type Finding from '../Finding.js';
import type ConfigurationDraft from './ConfigurationDraft.js';

/** Addresses that two targets have. */
export default function listAddressFindings({ targets }: ConfigurationDraft): readonly Finding[] {
  const owners = new Map<string, string>();
  return targets.flatMap(({ index, item }) => {
    const owner = owners.get(item.address);
    owners.set(item.address, owner ?? item.name);
    return owner === undefined
      ? []
      : [
          {
            path: ['targets', index, 'address'],
            found: `${JSON.stringify(item.address)} again`,
            expected: `an address other than that of target ${JSON.stringify(owner)}`,
          },
        ];
  });
}
