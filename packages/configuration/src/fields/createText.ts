/**
 * Schema of text.
 */
import { z } from 'zod';

/** Text that matches the pattern; `expected` names it in messages. */
export default function createText(pattern: RegExp, expected: string): z.ZodString {
  return z.string({ error: expected }).regex(pattern, { error: expected });
}
