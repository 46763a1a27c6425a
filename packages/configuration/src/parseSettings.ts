/**
 * Reading of settings.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import hashClient from '@burdockcove/steering/hashClient';
import type Settings from '@burdockcove/types/Settings';
import listPortClashes from './checks/listPortClashes.js';
import type Fault from './Fault.js';
import settingsSchema from './settingsSchema.js';
import listShapeFaults from './source/listShapeFaults.js';
import sortFaults from './source/sortFaults.js';
import SourceText from './source/SourceText.js';

const SEED_SHIFT = 1;

/** The settings with every default filled in, or all faults of the file. */
export default function parseSettings(
  file: string,
  text: string,
): Either<readonly Fault[], Settings> {
  const source = SourceText.parse(file, text);
  if (isLeft(source)) {
    return source;
  }
  const parsed = settingsSchema.safeParse(source.right.value);
  const faults = [
    ...source.right.listDuplicateKeys(),
    ...listShapeFaults(source.right, settingsSchema, parsed.error?.issues ?? []),
    ...listPortClashes(source.right.value).map((finding) => source.right.toFault(finding)),
  ];
  if (!parsed.success || faults.length > 0) {
    return left(sortFaults(faults));
  }
  const { ip, callerPort } = parsed.data;
  // eslint-disable-next-line no-bitwise
  const seed = parsed.data.seed ?? hashClient(`${ip}:${callerPort}`) >>> SEED_SHIFT;
  return right({ ...parsed.data, seed });
}
