/**
 * Builds the request headers for a target from those of a caller.
 */
import type { IncomingMessage } from 'node:http';
import classifyHeader from '../exchange/classifyHeader.js';
import listConnectionHeaders from '../exchange/listConnectionHeaders.js';
import type RequestHead from './RequestHead.js';

const VIA = '1.1 burdockcove';
const NO_VALUES: readonly string[] = [];

function appendValue(earlier: string | readonly string[] | undefined, value: string): string {
  return earlier === undefined ? value : `${String(earlier)}, ${value}`;
}

/** Removes hop-by-hop headers and the deadline, keeps `Host`, extends `Via` and `X-Forwarded-For`. */
export default function parseRequestHead(
  { rawHeaders, headers }: Pick<IncomingMessage, 'rawHeaders' | 'headers'>,
  clientAddress: string,
  deadlineHeader: string,
): RequestHead {
  const named = listConnectionHeaders(headers.connection);
  const kept: string[] = [];
  let deadlines = NO_VALUES;
  let hostCount = 0;
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] as string;
    const value = rawHeaders[i + 1] as string;
    const kind = classifyHeader(name);
    if (name.length === deadlineHeader.length && name.toLowerCase() === deadlineHeader) {
      deadlines = [...deadlines, value];
    } else if (kind === 'host') {
      hostCount += 1;
      kept.push(name, value);
    } else if (kind === 'keep' && (named.length === 0 || !named.includes(name.toLowerCase()))) {
      kept.push(name, value);
    }
  }
  kept.push('X-Forwarded-For', appendValue(headers['x-forwarded-for'], clientAddress));
  kept.push('Via', appendValue(headers.via, VIA));
  return { headers: kept, hostCount, deadlines };
}
