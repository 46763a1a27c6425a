/**
 * Reading of stored configurations.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type StoredConfiguration from './StoredConfiguration.js';
import storedSchema from './storedSchema.js';

/** The value, or why it is refused: no JSON, an unknown version, or a shape that this version cannot read. */
export default function parseStoredConfiguration(
  text: string,
): Either<string, StoredConfiguration> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    return left(`no JSON: ${String(error)}`);
  }
  const parsed = storedSchema.safeParse(raw);
  if (parsed.success) {
    return right({ accepted: parsed.data, raw });
  }
  const faults = parsed.error.issues.map(
    ({ path, message }) => `${path.map(String).join('.') || 'value'}: expected ${message}`,
  );
  return left(faults.join('; '));
}
