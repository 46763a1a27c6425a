/**
 * Values of a header as they were sent.
 */

/** Each value by itself, from flat name and value pairs; the name is in lower case. */
export default function listHeaderValues(
  rawHeaders: readonly string[],
  name: string,
): readonly string[] {
  const values: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const key = rawHeaders[i] as string;
    if (key.length === name.length && key.toLowerCase() === name) {
      values.push(rawHeaders[i + 1] as string);
    }
  }
  return values;
}
