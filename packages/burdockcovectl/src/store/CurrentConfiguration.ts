/**
 * The configuration in the store at the moment of a read.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type StoredConfiguration from '@burdockcove/configuration/stored/StoredConfiguration';

/** `storeRevision` is what a compare-and-swap names; zero where there is no configuration yet. */
interface CurrentConfiguration {
  readonly storeRevision: number;
  /** Revision of the configuration; zero where there is none yet. */
  readonly revision: number;
  readonly stored: Option<StoredConfiguration>;
}

export default CurrentConfiguration;
