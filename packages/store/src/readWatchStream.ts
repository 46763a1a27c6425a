/**
 * Reading of the gateway's watch stream.
 */
import type { z } from 'zod';
import type StoreError from '@burdockcove/types/StoreError';
import GATEWAY_RESPONSE_SCHEMAS from './GATEWAY_RESPONSE_SCHEMAS.js';
import type StoreEntry from './StoreEntry.js';
import type StoreEvent from './StoreEvent.js';
import readJsonLines from './readJsonLines.js';

type KeyValue = z.infer<typeof GATEWAY_RESPONSE_SCHEMAS.range>['kvs'][number];

const STEP = 'store watch';

/** Reports each change until the stream ends; returns the reason as an error. */
export default async function readWatchStream(
  chunks: AsyncIterable<Uint8Array>,
  peer: string,
  decodeEntry: (kv: KeyValue) => StoreEntry,
  onEvent: (event: StoreEvent) => void,
): Promise<StoreError> {
  try {
    for await (const line of readJsonLines(chunks)) {
      const { result } = GATEWAY_RESPONSE_SCHEMAS.watch.parse(JSON.parse(line));
      if (result.canceled) {
        return { _tag: 'StoreRefused', step: STEP, peer, detail: 'watch cancelled by the store' };
      }
      result.events.forEach(({ type, kv }) => {
        const entry = decodeEntry(kv);
        const { key, revision } = entry;
        onEvent(type === 'DELETE' ? { _tag: 'Delete', key, revision } : { _tag: 'Put', entry });
      });
    }
    return { _tag: 'StoreUnavailable', step: STEP, peer, detail: 'watch ended' };
  } catch (error) {
    return { _tag: 'StoreUnavailable', step: STEP, peer, detail: String(error) };
  }
}
