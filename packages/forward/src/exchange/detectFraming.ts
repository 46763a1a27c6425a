/**
 * How a target marks the end of its answer's body, by RFC 9112 section 6.3.
 */
import type Framing from './Framing.js';

/** `connection-end` where the head tells no end, so that only the connection does. */
export default function detectFraming(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Framing {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunked';
  }
  return headers['content-length'] === undefined ? 'connection-end' : 'length';
}
