/**
 * The gateway's watch: one JSON line for each group of changes.
 */
import type { ServerResponse } from 'node:http';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreStandIn from './StoreStandIn.js';
import decodeBase64 from './decodeBase64.js';
import encodeKeyValue from './encodeKeyValue.js';

interface WatchRequest {
  readonly create_request: { readonly key: string; readonly start_revision: string };
}

function encodeEvent(event: StoreEvent): unknown {
  if (event._tag === 'Put') {
    return { kv: encodeKeyValue(event.entry) };
  }
  const { key, revision } = event;
  return {
    type: 'DELETE',
    kv: { key: Buffer.from(key).toString('base64'), mod_revision: String(revision) },
  };
}

/** Streams until the watch is cut, which breaks the connection, or the client goes away. */
export default async function streamGatewayWatch(
  store: StoreStandIn,
  body: unknown,
  response: ServerResponse,
): Promise<void> {
  const { create_request: request } = body as WatchRequest;
  const gone = new AbortController();
  response.once('close', () => gone.abort());
  const writeLine = (line: unknown): void => {
    response.write(`${JSON.stringify({ result: line })}\n`);
  };
  const header = { revision: String(store.getRevision()) };
  writeLine({ header, created: true });
  let events: unknown[] = [];
  const writeEvents = (): void => {
    writeLine({ header, events });
    events = [];
  };
  // All changes of one transaction are reported at once and go into one line.
  const onEvent = (event: StoreEvent): void => {
    if (events.push(encodeEvent(event)) === 1) {
      queueMicrotask(writeEvents);
    }
  };
  const prefix = decodeBase64(request.key);
  const result = await store.watchPrefix(
    prefix,
    Number(request.start_revision),
    onEvent,
    gone.signal,
  )();
  if (result._tag === 'Left' && result.left._tag === 'StoreRefused') {
    writeLine({ header, canceled: true, compact_revision: header.revision });
    response.end();
    return;
  }
  response.destroy();
}
