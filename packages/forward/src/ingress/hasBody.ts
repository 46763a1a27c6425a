/**
 * Whether a request has a body.
 */
import type { IncomingMessage } from 'node:http';

/** Returns true if the head announces a body that is not empty. */
export default function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'];
  return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}
