/**
 * Faults of shape: missing, unknown and ill-typed values.
 */
import { z } from 'zod';
import type Fault from '../Fault.js';
import findNearestName from './findNearestName.js';
import findSchema from './findSchema.js';
import type SourceText from './SourceText.js';

type Issue = z.core.$ZodIssue;
type Path = readonly (string | number)[];

function describeKnownNames(schema: unknown, path: Path, key: string): string {
  const owner = findSchema(schema, path);
  const known = owner instanceof z.ZodObject ? Object.keys(owner.shape) : [];
  const nearest = findNearestName(key, known);
  return nearest === undefined
    ? `one of ${known.map((name) => JSON.stringify(name)).join(', ')}`
    : `${JSON.stringify(nearest)}, the nearest known name`;
}

function listIssueFaults(source: SourceText, schema: unknown, issue: Issue): readonly Fault[] {
  const path = issue.path as Path;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      source.toFaultAtKey(path, key, describeKnownNames(schema, path, key)),
    );
  }
  if (issue.code === 'invalid_key') {
    const key = String(path.at(-1) ?? '');
    const expected = issue.issues[0]?.message ?? issue.message;
    return [source.toFaultAtKey(path.slice(0, -1), key, expected)];
  }
  return [source.toFault({ path, found: '', expected: issue.message })];
}

/** One fault a place and expectation. */
export default function listShapeFaults(
  source: SourceText,
  schema: unknown,
  issues: readonly Issue[],
): readonly Fault[] {
  return issues.flatMap((issue) => listIssueFaults(source, schema, issue));
}
