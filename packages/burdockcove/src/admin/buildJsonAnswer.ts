/**
 * JSON answers of the admin server.
 */
import type AdminAnswer from './AdminAnswer.js';

/** Indented, since people read it. */
export default function buildJsonAnswer(status: number, value: unknown): AdminAnswer {
  const contentType = status < 400 ? 'application/json' : 'application/problem+json';
  return { status, contentType, body: `${JSON.stringify(value, null, 2)}\n` };
}
