/**
 * Headers that concern one connection only.
 */

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'transfer-encoding',
  'upgrade',
]);

/** True for a header of RFC 9110 section 7.6.1; the name is in lower case. */
export default function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name);
}
