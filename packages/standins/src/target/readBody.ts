/**
 * Reading of request bodies.
 */
import type { IncomingMessage } from 'node:http';

/** The body as text; what arrived so far where the signal was aborted. */
export default async function readBody(
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<string> {
  const parts: Buffer[] = [];
  try {
    for await (const part of request) {
      parts.push(part as Buffer);
    }
  } catch (error) {
    if (!signal.aborted) {
      throw error;
    }
  }
  return Buffer.concat(parts).toString('utf8');
}
