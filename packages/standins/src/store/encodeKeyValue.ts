/**
 * Key-value pairs as the gateway sends them.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';

interface GatewayKeyValue {
  readonly key: string;
  readonly value: string;
  readonly mod_revision: string;
}

/** Base64 for key and value, decimal text for the revision. */
export default function encodeKeyValue(entry: StoreEntry): GatewayKeyValue {
  return {
    key: Buffer.from(entry.key).toString('base64'),
    value: Buffer.from(entry.value).toString('base64'),
    mod_revision: String(entry.revision),
  };
}
