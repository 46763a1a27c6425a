/**
 * Carrying unknown fields over a rewrite.
 */
import { z } from 'zod';
import findSchema from '../source/findSchema.js';

type Fields = Readonly<Record<string, unknown>>;

type Keep = (schema: unknown, value: unknown, stored: unknown) => unknown;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** What makes an item of a list the same item after a change. */
function findIdentity(item: unknown): string | undefined {
  if (!isFields(item)) {
    return undefined;
  }
  const identity = item.name ?? item.between ?? item.cidr;
  return identity === undefined ? undefined : JSON.stringify(identity);
}

function keepInList(
  keep: Keep,
  item: unknown,
  value: readonly unknown[],
  stored: readonly unknown[],
): unknown {
  const byIdentity = new Map(stored.map((each) => [findIdentity(each), each]));
  return value.map((each) => {
    const identity = findIdentity(each);
    const earlier = identity === undefined ? undefined : byIdentity.get(identity);
    return keep(item, each, earlier);
  });
}

function keepInObject(keep: Keep, schema: z.ZodObject, value: Fields, stored: Fields): Fields {
  const shape: Readonly<Record<string, unknown>> = schema.shape;
  const unknown = Object.entries(stored).filter(([key]) => !(key in shape));
  const known = Object.entries(value).map(([key, each]) => [
    key,
    keep(shape[key], each, stored[key]),
  ]);
  return { ...Object.fromEntries(unknown), ...Object.fromEntries(known) };
}

/** The value with those fields of the stored one that the schema does not know. */
export default function keepUnknownFields(
  schema: unknown,
  value: unknown,
  stored: unknown,
): unknown {
  const plain = findSchema(schema, []);
  if (plain instanceof z.ZodObject && isFields(value) && isFields(stored)) {
    return keepInObject(keepUnknownFields, plain, value, stored);
  }
  if (plain instanceof z.ZodArray && Array.isArray(value) && Array.isArray(stored)) {
    return keepInList(keepUnknownFields, plain.element, value, stored);
  }
  return value;
}
