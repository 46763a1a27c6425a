/**
 * Reading of the configuration in force.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isNone, none, some } from 'fp-ts/lib/Option.js';
import parseStoredConfiguration from '@burdockcove/configuration/stored/parseStoredConfiguration';
import type Store from '@burdockcove/store/Store';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import toReadFailure from '../errors/toReadFailure.js';
import CONFIGURATION_KEY from './CONFIGURATION_KEY.js';
import type CurrentConfiguration from './CurrentConfiguration.js';

const NOTHING: CurrentConfiguration = { storeRevision: 0, revision: 0, stored: none };

/** A value that this version cannot read is refused, so that it is not overwritten. */
export default async function readCurrent(
  store: Store,
): Promise<Either<CtlFailure, CurrentConfiguration>> {
  const entry = await store.readKey(CONFIGURATION_KEY)();
  if (isLeft(entry)) {
    return left(toReadFailure(entry.left));
  }
  if (isNone(entry.right)) {
    return right(NOTHING);
  }
  const { value, revision } = entry.right.value;
  const stored = parseStoredConfiguration(value);
  return isLeft(stored)
    ? left(createFailure('Refused', 'read configuration', `it cannot be read: ${stored.left}`))
    : right({
        storeRevision: revision,
        revision: stored.right.accepted.revision,
        stored: some(stored.right),
      });
}
