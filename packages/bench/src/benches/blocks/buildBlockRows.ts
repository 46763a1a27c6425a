/**
 * Client blocks for measurements.
 */
import type Random from '@burdockcove/runtime/Random';
import type BlockRow from '@burdockcove/steering/BlockRow';
import computeBlockSize from '@burdockcove/steering/computeBlockSize';

const MIN_PREFIX_LENGTH = 21;
const PREFIX_LENGTHS = 9;
const ADDRESSES = 2 ** 32;

/** Sorted blocks of /21 to /29 spread over the whole address space, each with a random site. */
export default function buildBlockRows(
  random: Random,
  count: number,
  sites: number,
): readonly BlockRow[] {
  const stride = Math.floor(ADDRESSES / count);
  return Array.from({ length: count }, (_, index) => {
    const prefixLength = MIN_PREFIX_LENGTH + random.nextInt(PREFIX_LENGTHS);
    const size = computeBlockSize(prefixLength);
    const room = Math.floor((stride - size) / size);
    const start = index * stride + random.nextInt(Math.max(1, room)) * size;
    return { first: Math.ceil(start / size) * size, prefixLength, site: random.nextInt(sites) };
  });
}
