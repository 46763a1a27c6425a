/**
 * Duplicate names.
 */
import type Finding from '../Finding.js';
import type ConfigurationDraft from './ConfigurationDraft.js';

type ListKey = keyof ConfigurationDraft['names'];

function listDuplicates(key: ListKey, names: readonly string[]): readonly Finding[] {
  return names.flatMap((name, index) =>
    name !== '' && names.indexOf(name) < index
      ? [
          {
            path: [key, index, 'name'],
            found: `the name ${JSON.stringify(name)} again`,
            expected: `a name that no other of "${key}" has`,
          },
        ]
      : [],
  );
}

/** Names that stand twice in one list. */
export default function listNameFindings(draft: ConfigurationDraft): readonly Finding[] {
  return Object.entries(draft.names).flatMap(([key, names]) =>
    listDuplicates(key as ListKey, names),
  );
}
