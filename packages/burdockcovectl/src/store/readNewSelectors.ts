/**
 * Shift records of selectors that a change adds.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import type Store from '@burdockcove/store/Store';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import getShiftKey from '@burdockcove/shares/shift/getShiftKey';
import type Configuration from '@burdockcove/types/Configuration';
import type Selector from '@burdockcove/types/Selector';
import type CtlFailure from '../errors/CtlFailure.js';
import toReadFailure from '../errors/toReadFailure.js';

/** A record may be left from an earlier selector of the same name. */
export default async function readNewSelectors(
  store: Store,
  before: Configuration | undefined,
  after: Configuration,
): Promise<
  Either<CtlFailure, readonly { readonly selector: Selector; readonly entry?: StoreEntry }[]>
> {
  const known = before?.selectors.map(({ name }) => name) ?? [];
  const added = after.selectors.filter(({ name }) => !known.includes(name));
  const found: { readonly selector: Selector; readonly entry?: StoreEntry }[] = [];
  for (const selector of added) {
    const entry = await store.readKey(getShiftKey(selector.name))();
    if (isLeft(entry)) {
      return left(toReadFailure(entry.left));
    }
    found.push(isSome(entry.right) ? { selector, entry: entry.right.value } : { selector });
  }
  return right(found);
}
