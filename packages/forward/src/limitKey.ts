/**
 * Keys of limited length for what callers send.
 */
import murmurhash from 'murmurhash';

const MAX_KEY_LENGTH = 64;
const RADIX = 36;
const SECOND_SEED = 1;

/**
 * Returns the key, or a hash of it if it is long: a caller may send a key as long as a head may be, and tables of keys
 * are limited in number only.
 */
export default function limitKey(key: string): string {
  if (key.length <= MAX_KEY_LENGTH) {
    return key;
  }
  const first = murmurhash.v3(key).toString(RADIX);
  const second = murmurhash.v3(key, SECOND_SEED).toString(RADIX);
  return `${key.length}-${first}-${second}`;
}
