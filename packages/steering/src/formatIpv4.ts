/**
 * Formats IPv4 addresses.
 */

const OCTET_SHIFTS = [24, 16, 8, 0];
const OCTET_MASK = 0xff;

/** Returns four decimal octets for an unsigned 32-bit number. */
export default function formatIpv4(address: number): string {
  // eslint-disable-next-line no-bitwise
  return OCTET_SHIFTS.map((shift) => (address >>> shift) & OCTET_MASK).join('.');
}
