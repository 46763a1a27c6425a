/**
 * Form of addresses.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import parseIpv4 from '@burdockcove/steering/parseIpv4';

const ADDRESS_PATTERN = /^([0-9.]+):([1-9][0-9]{0,4})$/;
const MAX_PORT = 65_535;

/** True for `IP:PORT` with an IPv4 number. */
export default function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  return isSome(parseIpv4(match?.[1] ?? '')) && Number(match?.[2]) <= MAX_PORT;
}
