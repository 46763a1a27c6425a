/**
 * How a target delimits its response's body, by RFC 9112 section 6.3.
 */
import type Framing from './Framing.js';

/** Returns `connection-end` if the head has neither a length nor a transfer encoding. */
export default function detectFraming(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Framing {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunked';
  }
  return headers['content-length'] === undefined ? 'connection-end' : 'length';
}
