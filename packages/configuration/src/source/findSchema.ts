/**
 * The part of a schema that describes one place of a value.
 */
import { z } from 'zod';

function unwrapSchema(schema: unknown): unknown {
  let inner = schema;
  while (inner instanceof z.ZodDefault || inner instanceof z.ZodOptional) {
    inner = inner.unwrap();
  }
  return inner;
}

/** The schema at the path, without wrappers; undefined where the path leaves the schema. */
export default function findSchema(schema: unknown, path: readonly PropertyKey[]): unknown {
  const plain = unwrapSchema(schema);
  const [step, ...rest] = path;
  if (step === undefined) {
    return plain;
  }
  if (plain instanceof z.ZodObject) {
    return findSchema((plain.shape as Record<PropertyKey, unknown>)[step], rest);
  }
  if (plain instanceof z.ZodArray) {
    return findSchema(plain.element, rest);
  }
  return plain instanceof z.ZodRecord ? findSchema(plain.valueType, rest) : undefined;
}
