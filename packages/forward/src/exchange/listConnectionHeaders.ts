/**
 * Headers named by `Connection`.
 */

const USUAL_OPTIONS: ReadonlySet<string> = new Set(['close', 'keep-alive', '']);
const NONE: readonly string[] = [];

/** Returns the lower-case names of the headers that a `Connection` header's value excludes from forwarding. */
export default function listConnectionHeaders(value: string | undefined): readonly string[] {
  if (value === undefined || USUAL_OPTIONS.has(value)) {
    return NONE;
  }
  return value
    .toLowerCase()
    .split(',')
    .map((name) => name.trim())
    .filter((name) => !USUAL_OPTIONS.has(name));
}
