/**
 * Parsing of the caller's deadline.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type Deadline from './Deadline.js';

const POSITIVE_INTEGER = /^[1-9][0-9]{0,14}$/;

/** Returns left with an error text if the header is repeated or not a positive integer. */
export default function parseDeadline(
  values: readonly string[],
  limitMs: number,
  header: string,
): Either<string, Deadline> {
  const [value] = values;
  if (value === undefined) {
    return right({ callerTimeoutMs: limitMs, deadlineMs: limitMs });
  }
  if (values.length > 1) {
    return left(`${header} is given more than once`);
  }
  if (!POSITIVE_INTEGER.test(value)) {
    return left(`${header} must be a positive integer of milliseconds`);
  }
  const callerTimeoutMs = Number(value);
  return right({ callerTimeoutMs, deadlineMs: Math.min(callerTimeoutMs, limitMs) });
}
