/**
 * The headers of an answer that a caller sees.
 */
import classifyHeader from './classifyHeader.js';
import listConnectionHeaders from './listConnectionHeaders.js';

/** Flat name and value pairs from the target's: hop-by-hop headers and reserved words removed. */
export default function buildResponseHeaders(
  rawHeaders: readonly (Buffer | string)[],
  connection: string | undefined,
): string[] {
  const named = listConnectionHeaders(connection);
  const kept: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] as Buffer).toString('latin1');
    const kind = classifyHeader(name);
    const isNamed = named.length > 0 && named.includes(name.toLowerCase());
    if (kind !== 'hop' && kind !== 'reserved' && !isNamed) {
      kept.push(name, (rawHeaders[i + 1] as Buffer).toString('latin1'));
    }
  }
  return kept;
}
