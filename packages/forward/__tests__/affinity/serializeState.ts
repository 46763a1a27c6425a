/**
 * The state of an object with all that it refers to, as text, so that tests can tell whether a call has changed it.
 */

/**
 * Omitted: what the metrics' library holds, and two fields of `MemberTable` that each reading of it brings up to date and
 * that decide nothing by it: ranks derived from names, and when the fleet was last as large as ever, which every removal
 * of a member sets before.
 */
const OMITTED: readonly string[] = ['metrics', 'ranks', 'seenPeakAtMs'];

function serialize(value: unknown, seen: Set<object>): unknown {
  if (typeof value === 'function') {
    return 'function';
  }
  if (typeof value !== 'object' || value === null) {
    return String(value);
  }
  if (seen.has(value)) {
    return 'seen';
  }
  seen.add(value);
  if (value instanceof Map) {
    return [...value].map(([key, entry]) => [serialize(key, seen), serialize(entry, seen)]);
  }
  if (value instanceof Set || Array.isArray(value) || ArrayBuffer.isView(value)) {
    return [...(value as Iterable<unknown>)].map((entry) => serialize(entry, seen));
  }
  return Object.entries(value)
    .filter(([key]) => !OMITTED.includes(key))
    .map(([key, entry]) => [key, serialize(entry, seen)]);
}

/** Includes private fields, and the order of maps and sets. */
export default function serializeState(root: object): string {
  return JSON.stringify(serialize(root, new Set()));
}
