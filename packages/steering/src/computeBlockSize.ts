/**
 * Computes the size of an IPv4 block.
 */

const ADDRESS_BITS = 32;

/** Returns the number of addresses in a block with this prefix length in bits. */
export default function computeBlockSize(prefixLength: number): number {
  return 2 ** (ADDRESS_BITS - prefixLength);
}
