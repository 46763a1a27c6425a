/**
 * Errors of the store stand-in.
 */
import type StoreError from '@burdockcove/types/StoreError';

const PEER = 'store';

/** An error of the named call. */
export default function buildStoreError(
  _tag: StoreError['_tag'],
  call: string,
  detail: string,
): StoreError {
  return { _tag, step: `store ${call}`, peer: PEER, detail };
}
