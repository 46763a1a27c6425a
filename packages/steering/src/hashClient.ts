/**
 * Hashes client addresses.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const FINAL_MIX_SHIFT = 15;
const FINAL_MIX_FACTOR = 0x2c1b3c6d;

/** Returns an unsigned 32-bit hash (FNV-1a with a final mix) that is the same on every entry VM. */
export default function hashClient(client: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < client.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ client.charCodeAt(index), FNV_PRIME);
  }
  // eslint-disable-next-line no-bitwise
  hash = Math.imul(hash ^ (hash >>> FINAL_MIX_SHIFT), FINAL_MIX_FACTOR);
  // eslint-disable-next-line no-bitwise
  return (hash ^ (hash >>> FINAL_MIX_SHIFT)) >>> 0;
}
