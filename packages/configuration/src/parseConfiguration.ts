/**
 * Reading of the operators' configuration.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import type Configuration from '@burdockcove/types/Configuration';
import buildConfigurationSchema from './buildConfigurationSchema.js';
import type ConfigurationDraft from './checks/ConfigurationDraft.js';
import listAddressFindings from './checks/listAddressFindings.js';
import listBlockFindings from './checks/listBlockFindings.js';
import listLinkFindings from './checks/listLinkFindings.js';
import listMatchFindings from './checks/listMatchFindings.js';
import listNameFindings from './checks/listNameFindings.js';
import listReferenceFindings from './checks/listReferenceFindings.js';
import listSelectorFindings from './checks/listSelectorFindings.js';
import readDraft from './checks/readDraft.js';
import type Fault from './Fault.js';
import type Finding from './Finding.js';
import listShapeFaults from './source/listShapeFaults.js';
import sortFaults from './source/sortFaults.js';
import SourceText from './source/SourceText.js';

const schema = buildConfigurationSchema(z.strictObject);

const CHECKS: readonly ((draft: ConfigurationDraft) => readonly Finding[])[] = [
  listNameFindings,
  listReferenceFindings,
  listLinkFindings,
  listAddressFindings,
  listMatchFindings,
  listBlockFindings,
  listSelectorFindings,
];

/** The configuration with every default filled in, or all faults of the file. */
export default function parseConfiguration(
  file: string,
  text: string,
): Either<readonly Fault[], Configuration> {
  const source = SourceText.parse(file, text);
  if (isLeft(source)) {
    return source;
  }
  const parsed = schema.safeParse(source.right.value);
  const draft = readDraft(source.right.value, schema);
  const findings = CHECKS.flatMap((check) => check(draft));
  const faults = [
    ...source.right.listDuplicateKeys(),
    ...listShapeFaults(source.right, schema, parsed.error?.issues ?? []),
    ...findings.map((finding) => source.right.toFault(finding)),
  ];
  return parsed.success && faults.length === 0 ? right(parsed.data) : left(sortFaults(faults));
}
