/**
 * Counting of store calls.
 */
import { Counter, Gauge, type Registry } from 'prom-client';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { Option } from 'fp-ts/lib/Option.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type StoreError from '@burdockcove/types/StoreError';
import type Store from './Store.js';
import type StoreCommit from './StoreCommit.js';
import type StoreEntry from './StoreEntry.js';
import type StoreEvent from './StoreEvent.js';
import type StoreTransaction from './StoreTransaction.js';

/** The metrics of a process, shared by the wrappers of all causes. */
interface StoreMetrics {
  readonly calls: Counter<'cause' | 'call' | 'result'>;
  readonly watches: Gauge<'cause'>;
}

const metricsOf = new WeakMap<Registry, StoreMetrics>();

function createMetrics(registry: Registry): StoreMetrics {
  const calls = new Counter({
    name: 'burdockcove_store_calls_total',
    help: 'Calls of the store by cause, call and result',
    labelNames: ['cause', 'call', 'result'] as const,
    registers: [registry],
  });
  const watches = new Gauge({
    name: 'burdockcove_store_watches',
    help: 'Store watches waiting now, by cause',
    labelNames: ['cause'] as const,
    registers: [registry],
  });
  return { calls, watches };
}

function getMetrics(registry: Registry): StoreMetrics {
  const metrics = metricsOf.get(registry) ?? createMetrics(registry);
  metricsOf.set(registry, metrics);
  return metrics;
}

/** Wraps a store for one cause (`replica`, `roles`, `audit`, …) and counts each call with its result. */
export default class CountingStore implements Store {
  private readonly metrics: StoreMetrics;

  constructor(
    private readonly store: Store,
    private readonly cause: string,
    registry: Registry,
  ) {
    this.metrics = getMetrics(registry);
  }

  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>> {
    return this.countCall('read', this.store.readKey(key));
  }

  listKeys(
    prefix: string,
    limit?: number,
    minRevision?: number,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number }
  > {
    return this.countCall('list', this.store.listKeys(prefix, limit, minRevision));
  }

  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit> {
    return this.countCall('commit', this.store.commitTransaction(transaction));
  }

  grantLease(ttlSeconds: number): TaskEither<StoreError, string> {
    return this.countCall('grant', this.store.grantLease(ttlSeconds));
  }

  keepAlive(leaseId: string): TaskEither<StoreError, number> {
    return this.countCall('keep-alive', this.store.keepAlive(leaseId));
  }

  revokeLease(leaseId: string): TaskEither<StoreError, void> {
    return this.countCall('revoke', this.store.revokeLease(leaseId));
  }

  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
  ): TaskEither<StoreError, void> {
    const watch = this.store.watchPrefix(prefix, fromRevision, onEvent, signal);
    return async () => {
      this.metrics.watches.inc({ cause: this.cause });
      const result = await this.countCall('watch', watch)();
      this.metrics.watches.dec({ cause: this.cause });
      return result;
    };
  }

  private countCall<A>(call: string, task: TaskEither<StoreError, A>): TaskEither<StoreError, A> {
    const count = (result: string): void =>
      this.metrics.calls.inc({ cause: this.cause, call, result });
    return TE.bimap(
      (error: StoreError) => {
        count(error._tag);
        return error;
      },
      (answer: A) => {
        count('ok');
        return answer;
      },
    )(task);
  }
}
