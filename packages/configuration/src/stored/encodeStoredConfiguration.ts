/**
 * Writing of stored configurations.
 */
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import keepUnknownFields from './keepUnknownFields.js';
import storedSchema from './storedSchema.js';

/**
 * JSON of the accepted configuration. Fields of the value it replaces that this version does not
 * know are kept, at the same places and at items of the same name.
 */
export default function encodeStoredConfiguration(
  accepted: AcceptedConfiguration,
  replaced?: unknown,
): string {
  return JSON.stringify(keepUnknownFields(storedSchema, accepted, replaced));
}
