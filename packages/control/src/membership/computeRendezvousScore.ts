/**
 * Rendezvous hashing.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/* eslint-disable no-bitwise -- a hash function works on bits */
function mixBits(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, MIX_FIRST);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MIX_SECOND);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Score of a VM for a key, the same at every VM; those with the highest scores are chosen. */
export default function computeRendezvousScore(key: string, address: string): number {
  const text = `${key}|${address}`;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}
/* eslint-enable no-bitwise */
