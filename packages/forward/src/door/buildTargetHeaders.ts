/**
 * The headers that a target sees.
 */
import isHopByHop from '../exchange/isHopByHop.js';
import listConnectionNames from '../exchange/listConnectionNames.js';

const VIA = '1.1 burdockcove';

/** Headers that are replaced, or that the connection to the target settles by itself. */
const REPLACED: ReadonlySet<string> = new Set([
  'burdockcove-deadline-ms',
  'expect',
  'via',
  'x-forwarded-for',
]);

function appendValue(earlier: string | readonly string[] | undefined, value: string): string {
  return earlier === undefined ? value : `${String(earlier)}, ${value}`;
}

/**
 * Flat name and value pairs from the caller's: hop-by-hop headers removed, `Host` kept, `Via` and
 * `X-Forwarded-For` extended.
 */
export default function buildTargetHeaders(
  rawHeaders: readonly string[],
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  clientAddress: string,
): readonly string[] {
  const named = listConnectionNames(headers.connection as string | undefined);
  const kept: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] as string;
    const key = name.toLowerCase();
    if (!isHopByHop(key) && !REPLACED.has(key) && !named.includes(key)) {
      kept.push(name, rawHeaders[i + 1] as string);
    }
  }
  kept.push('X-Forwarded-For', appendValue(headers['x-forwarded-for'], clientAddress));
  kept.push('Via', appendValue(headers.via, VIA));
  return kept;
}
