/**
 * Key ranges of the gateway.
 */
import encodeBase64 from './encodeBase64.js';

/** Returns the range of all keys that start with the prefix. */
export default function encodePrefixRange(prefix: string): {
  readonly key: string;
  readonly range_end: string;
} {
  const end = Buffer.from(prefix);
  const last = end.length - 1;
  end.writeUInt8((end[last] ?? 0) + 1, last);
  return { key: encodeBase64(prefix), range_end: end.toString('base64') };
}
