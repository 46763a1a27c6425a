/**
 * Trailers of a target's response.
 */
import type { ServerResponse } from 'node:http';
import buildResponseHeaders from './buildResponseHeaders.js';

/** Adds the trailers to the response to the caller; `raw` has names and values in turn. */
export default function addTrailers(response: ServerResponse, raw: readonly Buffer[]): void {
  const kept = buildResponseHeaders(raw, undefined);
  const pairs = kept.flatMap((name, i) => (i % 2 === 0 ? [[name, kept[i + 1]]] : []));
  response.addTrailers(pairs as [string, string][]);
}
