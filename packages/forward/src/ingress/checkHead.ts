/**
 * Checks what every request needs.
 */
import type { IncomingMessage } from 'node:http';
import type RequestHead from './RequestHead.js';

/** Returns what is wrong with the head, or an empty text. */
export default function checkHead(
  { url, headers }: IncomingMessage,
  { hostCount }: RequestHead,
): string {
  if (!url?.startsWith('/')) {
    return 'the request target must be a path';
  }
  if (headers.upgrade !== undefined) {
    return 'protocol upgrades are not offered';
  }
  return hostCount === 1 ? '' : 'one Host header is needed';
}
