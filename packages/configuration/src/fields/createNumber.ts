/**
 * Schema of numbers that need not be whole.
 */
import { z } from 'zod';

/** A number within the bounds, both included. */
export default function createNumber(min: number, max: number, meaning: string): z.ZodNumber {
  const error = `a number from ${min} to ${max} (${meaning})`;
  return z.number({ error }).min(min, { error }).max(max, { error });
}
