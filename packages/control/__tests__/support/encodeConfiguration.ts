/**
 * Stored configurations for tests.
 */
import encodeStoredConfiguration from '@burdockcove/configuration/stored/encodeStoredConfiguration';
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';

/** A valid stored configuration of the revision. */
export default function encodeConfiguration(revision: number): string {
  return encodeStoredConfiguration(buildAccepted({}, revision));
}
