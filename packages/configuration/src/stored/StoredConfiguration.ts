/**
 * A configuration as the store holds it.
 */
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';

/** `raw` keeps the fields that a newer version wrote and this one does not know. */
interface StoredConfiguration {
  readonly accepted: AcceptedConfiguration;
  readonly raw: unknown;
}

export default StoredConfiguration;
