/**
 * Changes for reading and for the audit trail.
 */
import type Change from './Change.js';

/** One line; it starts with the object and a colon. */
export default function formatChange({ object, detail }: Change): string {
  return `${object}: ${detail}`;
}
