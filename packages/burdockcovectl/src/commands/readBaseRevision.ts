/**
 * The revision that a configuration file was made against.
 */

const PATTERN = /^\s*\/\/ burdockcove revision (\d+)\s*$/m;

/** From the comment that `get` writes; undefined where the file has none. */
export default function readBaseRevision(text: string): number | undefined {
  const match = PATTERN.exec(text);
  return match === null ? undefined : Number(match[1]);
}
