/**
 * Digests by which customers' keys are kept and looked up.
 */
import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest; `latin1` is the encoding in which Node.js passes on the bytes of a header. */
export default function computeKeyDigest(key: string, encoding: 'latin1' | 'utf8'): string {
  return createHash('sha256').update(key, encoding).digest('base64');
}
