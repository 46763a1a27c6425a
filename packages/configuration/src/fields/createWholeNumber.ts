/**
 * Schema of whole numbers.
 */
import { z } from 'zod';

/** A whole number within the bounds; `meaning` (a unit, say) follows the bounds in messages. */
export default function createWholeNumber(min: number, max: number, meaning = ''): z.ZodNumber {
  const error = `a whole number from ${min} to ${max}${meaning === '' ? '' : ` (${meaning})`}`;
  return z.number({ error }).int({ error }).min(min, { error }).max(max, { error });
}
