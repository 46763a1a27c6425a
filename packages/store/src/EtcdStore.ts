/**
 * Store adapter for the etcd v3 JSON gateway.
 */
import * as E from 'fp-ts/lib/Either.js';
import { fromNullable, type Option } from 'fp-ts/lib/Option.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { z } from 'zod';
import type Clock from '@burdockcove/runtime/Clock';
import type StoreError from '@burdockcove/types/StoreError';
import GATEWAY_RESPONSE_SCHEMAS from './GATEWAY_RESPONSE_SCHEMAS.js';
import GatewayClient from './GatewayClient.js';
import type Store from './Store.js';
import type StoreCommit from './StoreCommit.js';
import type StoreEntry from './StoreEntry.js';
import type StoreEvent from './StoreEvent.js';
import type StoreTransaction from './StoreTransaction.js';
import encodeBase64 from './encodeBase64.js';
import encodePrefixRange from './encodePrefixRange.js';
import encodeTransaction from './encodeTransaction.js';
import readWatchStream from './readWatchStream.js';

const CALL_TIMEOUT_MS = 2_000;

/** Adds the prefix to all keys in the store; callers use keys without it. */
export default class EtcdStore implements Store {
  private readonly client: GatewayClient;

  constructor(
    clock: Clock,
    endpoints: readonly string[],
    private readonly prefix: string,
    timeoutMs = CALL_TIMEOUT_MS,
  ) {
    this.client = new GatewayClient(clock, endpoints, timeoutMs);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.client.close();
  }

  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>> {
    return TE.map(({ kvs }: z.infer<typeof GATEWAY_RESPONSE_SCHEMAS.range>) =>
      fromNullable(kvs.map((kv) => this.decodeEntry(kv))[0]),
    )(this.fetchRange('store read', { key: encodeBase64(`${this.prefix}${key}`) }));
  }

  listKeys(
    prefix: string,
    limit = 0,
    minRevision = 0,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number }
  > {
    const range = {
      ...encodePrefixRange(`${this.prefix}${prefix}`),
      limit: String(limit),
      min_mod_revision: String(minRevision),
    };
    return TE.map(({ kvs, header }: z.infer<typeof GATEWAY_RESPONSE_SCHEMAS.range>) => ({
      entries: kvs.map((kv) => this.decodeEntry(kv)),
      revision: header.revision,
    }))(this.fetchRange('store list', range));
  }

  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit> {
    const call = {
      step: 'store commit',
      path: '/v3/kv/txn',
      body: encodeTransaction(this.prefix, transaction),
      responseSchema: GATEWAY_RESPONSE_SCHEMAS.transaction,
      isWrite: true,
    };
    return TE.map(({ header, succeeded }: z.infer<typeof call.responseSchema>) => ({
      committed: succeeded,
      revision: header.revision,
    }))(() => this.client.runCall(call));
  }

  grantLease(ttlSeconds: number): TaskEither<StoreError, string> {
    const call = {
      step: 'store grant',
      path: '/v3/lease/grant',
      body: { TTL: String(ttlSeconds) },
      responseSchema: GATEWAY_RESPONSE_SCHEMAS.grant,
      isWrite: true,
    };
    return TE.map(({ ID: id }: z.infer<typeof call.responseSchema>) => id)(() =>
      this.client.runCall(call),
    );
  }

  keepAlive(leaseId: string): TaskEither<StoreError, number> {
    const call = {
      step: 'store keep-alive',
      path: '/v3/lease/keepalive',
      body: { ID: leaseId },
      responseSchema: GATEWAY_RESPONSE_SCHEMAS.keepAlive,
      isWrite: true,
    };
    return TE.map(({ result }: z.infer<typeof call.responseSchema>) => result.TTL)(() =>
      this.client.runCall(call),
    );
  }

  revokeLease(leaseId: string): TaskEither<StoreError, void> {
    const call = {
      step: 'store revoke',
      path: '/v3/lease/revoke',
      body: { ID: leaseId },
      responseSchema: GATEWAY_RESPONSE_SCHEMAS.revoke,
      isWrite: true,
    };
    return TE.map(() => undefined)(() => this.client.runCall(call));
  }

  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
  ): TaskEither<StoreError, void> {
    const request = {
      create_request: {
        ...encodePrefixRange(`${this.prefix}${prefix}`),
        start_revision: String(fromRevision),
      },
    };
    return async () => {
      const stream = await this.client.openStream('/v3/watch', request, signal);
      if (E.isLeft(stream)) {
        return signal.aborted ? E.right(undefined) : stream;
      }
      const ended = await readWatchStream(
        stream.right,
        this.client.getPreferredEndpoint(),
        (kv) => this.decodeEntry(kv),
        onEvent,
      );
      return signal.aborted ? E.right(undefined) : E.left(ended);
    };
  }

  private fetchRange(
    step: string,
    body: unknown,
  ): TaskEither<StoreError, z.infer<typeof GATEWAY_RESPONSE_SCHEMAS.range>> {
    const responseSchema = GATEWAY_RESPONSE_SCHEMAS.range;
    return () =>
      this.client.runCall({ step, path: '/v3/kv/range', body, responseSchema, isWrite: false });
  }

  private decodeEntry(kv: {
    readonly key: string;
    readonly value: string;
    readonly mod_revision: number;
  }): StoreEntry {
    const key = Buffer.from(kv.key, 'base64').toString('utf8');
    const value = Buffer.from(kv.value, 'base64').toString('utf8');
    return { key: key.slice(this.prefix.length), value, revision: kv.mod_revision };
  }
}
