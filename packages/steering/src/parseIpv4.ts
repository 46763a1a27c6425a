/**
 * Parses IPv4 addresses.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';

const OCTETS = 4;
const MAX_OCTET = 255;
const OCTET_SIZE = 256;
const CODE_DOT = 46;
const CODE_ZERO = 48;
const CODE_NINE = 57;

/**
 * Returns the address as an unsigned 32-bit number, or none if the text is not four decimal octets.
 */
export default function parseIpv4(text: string): Option<number> {
  let address = 0;
  let octet = -1;
  let octets = 0;
  for (let index = 0; index <= text.length; index += 1) {
    const code = index === text.length ? CODE_DOT : text.charCodeAt(index);
    if (code === CODE_DOT) {
      if (octet < 0) {
        return none;
      }
      address = address * OCTET_SIZE + octet;
      octets += 1;
      octet = -1;
    } else if (code >= CODE_ZERO && code <= CODE_NINE && octet !== 0) {
      octet = Math.max(octet, 0) * 10 + code - CODE_ZERO;
      if (octet > MAX_OCTET) {
        return none;
      }
    } else {
      return none;
    }
  }
  return octets === OCTETS ? some(address) : none;
}
