/**
 * MurmurHash3 (32 bits) of a text.
 *
 * Orders of preference must be equal on all entry VMs of a fleet, also during an upgrade, so the values are those of the
 * `murmurhash` package for the UTF-8 bytes of the text. Its encoding of each text into bytes costs several times the hash.
 */
/* eslint-disable no-bitwise -- the hash is defined by operations on bits. */

const MAX_ASCII = 0x7f;
const MAX_BYTE = 0xff;
const BYTES_PER_BLOCK = 4;

function mixBlock(block: number): number {
  const mixed = Math.imul(block, 0xcc9e2d51);
  return Math.imul((mixed << 15) | (mixed >>> 17), 0x1b873593);
}

function mixEnd(hash: number): number {
  const first = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
  return (second ^ (second >>> 16)) >>> 0;
}

/** Hashes characters as bytes; returns -1 if one is above the given code. */
function hashCodes(text: string, seed: number, maxCode: number): number {
  const { length } = text;
  let hash = seed;
  let block = 0;
  for (let index = 0; index < length; index += 1) {
    const code = text.charCodeAt(index);
    if (code > maxCode) {
      return -1;
    }
    const place = index % BYTES_PER_BLOCK;
    block |= code << (8 * place);
    if (place === BYTES_PER_BLOCK - 1) {
      hash ^= mixBlock(block);
      hash = (Math.imul((hash << 13) | (hash >>> 19), 5) + 0xe6546b64) | 0;
      block = 0;
    }
  }
  return mixEnd(hash ^ mixBlock(block) ^ length);
}

/** Returns an unsigned integer of 32 bits. */
export default function hashText(text: string, seed = 0): number {
  const hash = hashCodes(text, seed, MAX_ASCII);
  return hash >= 0 ? hash : hashCodes(Buffer.from(text, 'utf8').toString('latin1'), seed, MAX_BYTE);
}
