/**
 * Parses IPv4 blocks in CIDR notation.
 */
import { isNone, none, some, type Option } from 'fp-ts/lib/Option.js';
import type CidrBlock from './CidrBlock.js';
import computeBlockSize from './computeBlockSize.js';
import parseIpv4 from './parseIpv4.js';

const CIDR_PATTERN = /^([0-9.]+)\/([0-9]{1,2})$/;
const MAX_PREFIX_LENGTH = 32;

/**
 * Returns the block, or none if the text is not valid CIDR notation. Bits after the prefix are
 * cleared.
 */
export default function parseCidr(text: string): Option<CidrBlock> {
  const match = CIDR_PATTERN.exec(text);
  const address = parseIpv4(match?.[1] ?? '');
  const prefixLength = Number(match?.[2]);
  if (isNone(address) || !(prefixLength <= MAX_PREFIX_LENGTH)) {
    return none;
  }
  const first = address.value - (address.value % computeBlockSize(prefixLength));
  return some({ first, prefixLength });
}
