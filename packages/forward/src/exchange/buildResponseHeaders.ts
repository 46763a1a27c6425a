/**
 * The response headers that are sent to a caller.
 */
import classifyHeader from './classifyHeader.js';
import listConnectionHeaders from './listConnectionHeaders.js';

/** Returns the target's headers as flat name and value pairs, without hop-by-hop and reserved ones. */
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
