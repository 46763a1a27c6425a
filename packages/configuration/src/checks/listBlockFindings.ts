/**
 * Faults of client blocks.
 */
import { isNone } from 'fp-ts/lib/Option.js';
import type CidrBlock from '@burdockcove/steering/CidrBlock';
import computeBlockSize from '@burdockcove/steering/computeBlockSize';
import formatIpv4 from '@burdockcove/steering/formatIpv4';
import parseCidr from '@burdockcove/steering/parseCidr';
import type Finding from '../Finding.js';
import type ConfigurationDraft from './ConfigurationDraft.js';

interface Placed extends CidrBlock {
  readonly index: number;
  readonly cidr: string;
}

const FORM = 'an IPv4 block such as "10.1.0.0/16"';

function checkForm(index: number, cidr: string): readonly Finding[] {
  const path = ['clientBlocks', index, 'cidr'];
  const block = parseCidr(cidr);
  if (isNone(block)) {
    return [{ path, found: '', expected: FORM }];
  }
  const plain = `${formatIpv4(block.value.first)}/${block.value.prefixLength}`;
  const expected = `${JSON.stringify(plain)}, with no bits set after the prefix`;
  return plain === cidr ? [] : [{ path, found: '', expected }];
}

function listOverlaps(placed: readonly Placed[]): readonly Finding[] {
  const sorted = [...placed].sort(
    (left, right) => left.first - right.first || left.prefixLength - right.prefixLength,
  );
  let widest: Placed | undefined;
  return sorted.flatMap((block) => {
    const end = widest === undefined ? -1 : widest.first + computeBlockSize(widest.prefixLength);
    if (widest !== undefined && block.first < end) {
      const [earlier, later] = widest.index < block.index ? [widest, block] : [block, widest];
      const path = ['clientBlocks', later.index, 'cidr'];
      const found = `${JSON.stringify(later.cidr)}, which overlaps ${JSON.stringify(earlier.cidr)}`;
      return [{ path, found, expected: 'blocks that do not overlap' }];
    }
    widest = block;
    return [];
  });
}

/** Malformed and overlapping blocks. */
export default function listBlockFindings({
  clientBlocks,
}: ConfigurationDraft): readonly Finding[] {
  const placed = clientBlocks.flatMap(({ index, item }) => {
    const block = parseCidr(item.cidr);
    return isNone(block) ? [] : [{ ...block.value, index, cidr: item.cidr }];
  });
  return [
    ...clientBlocks.flatMap(({ index, item }) => checkForm(index, item.cidr)),
    ...listOverlaps(placed),
  ];
}
