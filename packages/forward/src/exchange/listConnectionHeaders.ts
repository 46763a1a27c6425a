/**
 * Headers named by `Connection`.
 */

const USUAL_OPTIONS: ReadonlySet<string> = new Set(['close', 'keep-alive', '']);
const NONE: readonly string[] = [];

/** The lower-case header names that a `Connection` header's value removes from forwarding. */
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
