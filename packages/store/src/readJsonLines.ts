/**
 * Reading of newline-delimited JSON.
 */

/** Longest line accepted, in characters; a value of a megabyte in base64 fits. */
const MAX_LINE_LENGTH = 8 * 1024 * 1024;

/** Yields each complete line; throws if a line is too long. */
export default async function* readJsonLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of chunks) {
    const lines = `${rest}${decoder.decode(chunk, { stream: true })}`.split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE_LENGTH) {
      throw new Error('line too long');
    }
    yield* lines.filter((line) => line !== '');
  }
}
