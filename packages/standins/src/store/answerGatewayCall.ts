/**
 * Single calls of the etcd v3 JSON gateway, answered from the store stand-in.
 */
import { left, map, type Either } from 'fp-ts/lib/Either.js';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type StoreError from '@burdockcove/types/StoreError';
import type StoreStandIn from './StoreStandIn.js';
import buildStoreError from './buildStoreError.js';
import decodeBase64 from './decodeBase64.js';
import encodeKeyValue from './encodeKeyValue.js';

interface GatewayRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
  readonly min_mod_revision?: string;
  readonly compare?: readonly { readonly key: string; readonly mod_revision: string }[];
  readonly success?: readonly GatewayOperation[];
  readonly TTL?: string;
  readonly ID?: string;
}

interface GatewayOperation {
  readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string };
  readonly request_delete_range?: { readonly key: string };
}

function encodeRange(entries: readonly StoreEntry[], revision: number): unknown {
  return { header: { revision: String(revision) }, kvs: entries.map(encodeKeyValue) };
}

async function answerRange(
  store: StoreStandIn,
  request: GatewayRequest,
): Promise<Either<StoreError, unknown>> {
  const key = decodeBase64(request.key);
  if (request.range_end === undefined) {
    const result = await store.readKey(key)();
    return map((entry: { readonly _tag: string; readonly value?: StoreEntry }) =>
      encodeRange(entry.value === undefined ? [] : [entry.value], store.getRevision()),
    )(result);
  }
  const limit = Number(request.limit ?? 0) || Number.MAX_SAFE_INTEGER;
  const minRevision = Number(request.min_mod_revision ?? 0);
  const result = await store.listKeys(key, limit, minRevision)();
  return map((list: { readonly entries: readonly StoreEntry[]; readonly revision: number }) =>
    encodeRange(list.entries, list.revision),
  )(result);
}

function parseTransaction(request: GatewayRequest): StoreTransaction {
  const operations = request.success ?? [];
  return {
    compares: (request.compare ?? []).map(({ key, mod_revision: revision }) => ({
      key: decodeBase64(key),
      revision: Number(revision),
    })),
    puts: operations
      .flatMap(({ request_put: put }) => (put === undefined ? [] : [put]))
      .map(({ key, value, lease }) => ({
        key: decodeBase64(key),
        value: decodeBase64(value),
        ...(lease === undefined ? {} : { leaseId: lease }),
      })),
    deletes: operations
      .flatMap(({ request_delete_range: range }) => (range === undefined ? [] : [range]))
      .map(({ key }) => decodeBase64(key)),
  };
}

/** Answers a call by its path; unknown paths are malformed. */
export default async function answerGatewayCall(
  store: StoreStandIn,
  path: string,
  body: unknown,
): Promise<Either<StoreError, unknown>> {
  const request = body as GatewayRequest;
  switch (path) {
    case '/v3/kv/range':
      return answerRange(store, request);
    case '/v3/kv/txn':
      return map(({ committed, revision }: { committed: boolean; revision: number }) => ({
        header: { revision: String(revision) },
        ...(committed ? { succeeded: true } : {}),
      }))(await store.commitTransaction(parseTransaction(request))());
    case '/v3/lease/grant':
      return map((id: string) => ({ ID: id, TTL: request.TTL }))(
        await store.grantLease(Number(request.TTL))(),
      );
    case '/v3/lease/keepalive':
      return map((seconds: number) => ({ result: { ID: request.ID, TTL: String(seconds) } }))(
        await store.keepAlive(request.ID ?? '')(),
      );
    case '/v3/lease/revoke':
      return map(() => ({ header: { revision: String(store.getRevision()) } }))(
        await store.revokeLease(request.ID ?? '')(),
      );
    default:
      return left(buildStoreError('StoreMalformed', path, 'unknown path'));
  }
}
