/**
 * The headers of an answer that a caller sees.
 */
import isHopByHop from './isHopByHop.js';
import listConnectionNames from './listConnectionNames.js';

/** Words that only burdockcove itself or a target's shed answer may say. */
const RESERVED: ReadonlySet<string> = new Set(['burdockcove-outcome', 'target-outcome']);

/** Flat name and value pairs from the target's: hop-by-hop headers and reserved words removed. */
export default function buildAnswerHeaders(
  rawHeaders: readonly (Buffer | string)[],
  connection: string | undefined,
): string[] {
  const named = listConnectionNames(connection);
  const kept: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = String(rawHeaders[i]);
    const key = name.toLowerCase();
    if (!isHopByHop(key) && !RESERVED.has(key) && !named.includes(key)) {
      kept.push(name, (rawHeaders[i + 1] as Buffer).toString('latin1'));
    }
  }
  return kept;
}
